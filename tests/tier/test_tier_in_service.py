"""The tier in the program: invalid settings, other versions, floods, changed peers and operators' calls."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from fleet import KEY, ROOT, Fleet
from rig import Client, configuration, request, run_for, status, until

from driftstair.net.udp_socket import UdpSocket
from driftstair.rehearsal.tier.relay import Relay

TIMEOUT_S = 180.0  # reached only by failing tests

# A later version of the program: more fields at the end of each array, an unknown kind of message, and a
# later version number among its traits.
LATER_VERSION_PROGRAM = """
import sys
import msgspec
from driftstair.__main__ import main
from driftstair.tier import service, wire
from driftstair.tier.membership.events import Kind

class Codec(wire.Codec):
    def encode(self, message):
        rows = msgspec.msgpack.decode(super().encode(message)[1 + wire.MAC_BYTES:])
        if message.kind is Kind.NEWS:
            rows[0] = 9
        rows += [b""] * (8 - len(rows))
        body = msgspec.msgpack.encode([*rows, {"of": "a later version"}])
        head = bytes((wire.VERSION,))
        return head + self._mac(head, body) + body

service.Codec = Codec
service.wire.VERSION, traits = wire.VERSION, service.Traits
service.Traits = lambda zone, version, supports: traits(zone, version + 1, supports)
sys.exit(main())
"""

# A program with an incompatible datagram format.
INCOMPATIBLE_PROGRAM = """
import sys
from driftstair.__main__ import main
from driftstair.tier import wire
wire.VERSION = 7
sys.exit(main())
"""


def test_nodes_of_two_compatible_versions_form_one_tier(tmp_path: Path) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 5) as fleet:
            fleet.programs |= dict.fromkeys((1, 3), LATER_VERSION_PROGRAM)
            await fleet.start()
            await fleet.wait_joined()
            await fleet.kill(3)
            await fleet.wait_for_state((3,), "dead")
            fleet.programs[3] = ""  # the upgrade is rolled back
            await fleet.start(3)
            await fleet.wait_joined()
            assert any("other_kind" in line for lines in fleet.log_lines.values() for line in lines)

    run_for(test(), TIMEOUT_S)


def test_nodes_with_an_incompatible_datagram_format_are_ignored_until_they_are_upgraded(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 4) as fleet:
            fleet.programs |= dict.fromkeys((2, 3), INCOMPATIBLE_PROGRAM)
            await fleet.start()
            await fleet.wait_for_state((1,), "alive", by=(0,))
            await fleet.wait_for_state((3,), "alive", by=(2,))
            await fleet.wait_until(
                lambda: any("other_version" in line for line in fleet.log_lines.get(0, []))
            )
            assert set(fleet.views()[0]) == {1}
            for number in (2, 3):
                assert await fleet.terminate(number) == 0
                fleet.programs[number] = ""
                await fleet.start(number)
            await fleet.wait_joined()

    run_for(test(), TIMEOUT_S)


def test_a_flood_from_outside_causes_no_false_death_and_requests_are_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 3, period="500ms") as fleet:
            await fleet.start()
            await fleet.wait_joined()
            port = int(fleet.document(0)["peer_listen"].rsplit(":", 1)[1])
            stop = asyncio.Event()

            async def flood() -> None:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as outsider:
                    while not stop.is_set():
                        for _ in range(200):
                            outsider.sendto(os.urandom(200), ("127.0.0.1", port))
                        await asyncio.sleep(0.005)

            flooding = asyncio.create_task(flood())
            try:
                for _ in range(60):
                    client = Client(*await asyncio.open_connection(*fleet.addresses[0]))
                    # The answer without any server.
                    assert status(await client.ask(request())) == 503
                    client.writer.close()
                await fleet.wait_until(lambda: any("unknown_address" in line for line in fleet.log_lines[0]))
            finally:
                stop.set()
                await flooding
            await fleet.wait_joined()
            # The kernel drops datagrams of the flood that are not read in time, and with them datagrams of
            # peers, so node 0 may be held dead. The other nodes must not be.
            assert not [verdict for _, verdict in fleet.dead_verdicts() if verdict.member != 0]

    run_for(test(), TIMEOUT_S)


def test_nodes_whose_numbers_change_by_sighup_are_new_members(tmp_path: Path) -> None:
    """Node 1's machine is removed, so that node 2 becomes number 1 and the tier has two nodes."""

    async def test() -> None:
        async with Fleet(tmp_path, 3) as fleet:
            await fleet.start()
            await fleet.wait_joined()
            documents = {number: fleet.document(number) for number in (0, 2)}
            await fleet.terminate(1)
            fleet.relay.close()
            ports = [int(documents[number]["peer_listen"].rsplit(":", 1)[1]) for number in (0, 2)]
            fleet.relay = Relay(fleet.links, ports)
            for new_number, number in enumerate((0, 2)):
                document = documents[number] | {"peers": fleet.relay.peer_addresses(new_number)}
                document["settings"] |= {"SelfIndex": new_number, "PeersTotal": 2}
                (tmp_path / f"n{number}.json").write_text(json.dumps(document))
                fleet.process(number).send_signal(signal.SIGHUP)

            def both_alive() -> bool:
                latest = {}
                for process in fleet.run_record().processes:
                    for held in process.view_changes:
                        latest[process.node, held.member] = held.state
                return latest.get((0, 1)) == "alive" and latest.get((1, 0)) == "alive"

            await fleet.wait_until(both_alive, "the two never found each other under their new numbers")

    run_for(test(), TIMEOUT_S)


def run_tier_show(address: str, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "driftstair", "tier", "show", address, *options], cwd=ROOT,
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip


def test_tier_show_prints_a_running_node_s_views_of_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 3) as fleet:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                operator_address = f"127.0.0.1:{probe.getsockname()[1]}"
            await fleet.start(0, env={"BALANCER_OPS": operator_address})
            await fleet.start(1, 2)
            await fleet.wait_joined()
            fleet.stop(2)
            await fleet.wait_for_state((2,), "dead")
            await fleet.wait_until(lambda: 0 in fleet.addresses)
            json_output = await asyncio.to_thread(run_tier_show, operator_address, "--json")
            report = json.loads(json_output.stdout)
            assert [(member["number"], member["state"]) for member in report["members"]] == [
                (1, "alive"), (2, "dead"),
            ]  # fmt: skip
            assert report["members"][0]["round_trip_s"] > 0
            text_output = await asyncio.to_thread(run_tier_show, operator_address)
            assert (
                text_output.returncode == 0
                and "dead" in text_output.stdout
                and "round trip ms" in text_output.stdout
            )
            await fleet.kill(0)
            failed = await asyncio.to_thread(run_tier_show, operator_address)
            assert failed.returncode == 2 and failed.stderr.count("\n") == 1 and "refused" in failed.stderr

    run_for(test(), TIMEOUT_S)


# Without a tier, and with invalid settings.


def start_process(
    folder: Path, table: str, document: dict[str, Any], code: str = ""
) -> subprocess.CompletedProcess[str]:
    (folder / "service.toml").write_text(f"version = 1\n{table}")
    (folder / "config.json").write_text(json.dumps(document))
    options = ["-c", code] if code else ["-m", "driftstair"]
    return subprocess.run(
        [sys.executable, *options, "--service", str(folder / "service.toml")], cwd=ROOT, capture_output=True,
        text=True, timeout=60, env={**os.environ, "BALANCER_CONFIG": str(folder / "config.json")},
    )  # fmt: skip


def platform_document(**changes: Any) -> dict[str, Any]:
    document = configuration(discovery="127.0.0.1:1", Peers=True)
    document["settings"] |= {"SelfIndex": 0, "PeersTotal": 2}
    return document | {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1", "127.0.0.1:2"]} | changes


@pytest.mark.parametrize(
    ("table", "reason"),
    [
        ("[tier]\n", "tier.key: is missing"), ('[tier]\nkey = "{key}"\nperiod = "1ms"\n', "tier.period"),
        ('[tier]\nkey = "{key}"\npriod = "1s"\n', "period would do"),
        ('[tier]\nkey = "{none}"\n', "can't be read"), ('[tier]\nkey = "{open}"\n', "set mode 600"),
        ('[tier]\nkey = "{empty}"\n', "holds a key of 0 bytes"),
        ('[tier]\nkey = "{key}"\nfolder = "{none}"\n', "is no folder"),
        ('[tier]\nkey = "{key}"\nhistory = "{none}"\n', "No such file"),
        ('[tier]\nkey = "{key}"\njudge = "yes"\n', "tier.judge"),
        ('[tier]\nkey = "{key}"\n[tier.collect]\nfolder = "{none}"\nto = "10.0.0.9:7000"\n', "is no folder"),
        ('[tier]\nkey = "{key}"\n[tier.collect]\nfolder = "/"\nto = "there"\n', '"10.0.0.9:7000" would do'),
        ('[tier]\nkey = "{key}"\n[tier.budgets]\n', "tier.budgets"),
        ('[tier]\nkey = "{key}"\n[tier.budgets.b]\nper_s = 0.0\n', "tier.budgets.b.per_s"),
        ('[tier]\nkey = "{key}"\n[tier.budgets.b]\nper_s = -1.0\n', "tier.budgets.b.per_s"),
        ('[tier]\nkey = "{key}"\n[tier.budgets.b]\nper_s = 0.25\nburst = "4s"\n', '"8s" would do'),
        ('[tier]\nkey = "{key}"\n[tier.budgets.tries]\nper_s = 9.0\n[[route]]\nname = "a"\n'
         'retry = { budget = { fleet = "tires" } }\n', '"tries" would do'),
        ('[tier]\nkey = "{key}"\n[tier.budgets.b]\nper_s = 9.0\n[[route]]\nname = "a"\n'
         'admit = { rate = { fleet = "b", per_s = 1.0 } }\n', "per_s: says nothing beside fleet"),
        ('[tier]\nkey = "{key}"\n[[route]]\nname = "a"\nadmit = { rate = { fleet = "b" } }\n',
         "a table [tier.budgets.b] would do"),
    ],
)  # fmt: skip
def test_an_invalid_table_is_reported_in_one_line_with_status_2(
    table: str, reason: str, tmp_path: Path
) -> None:
    for name, content, mode in (("key", KEY, 0o600), ("open", KEY, 0o644), ("empty", "", 0o600)):
        (tmp_path / name).write_text(content)
        (tmp_path / name).chmod(mode)
    for name in ("key", "open", "empty", "none"):
        table = table.replace(f"{{{name}}}", str(tmp_path / name))
    completed = start_process(tmp_path, table, platform_document())
    assert completed.returncode == 2
    (line,) = completed.stderr.splitlines()
    assert reason in line and "service.toml" in line and ("tier" in line or "fleet" in line)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"peers": []}, "no list of 1 to"), ({"peers": ["127.0.0.1:1"] * 2}, "duplicate address"),
        ({"peers": ["x"]}, "the platform's peers"), ({"peer_listen": None}, "the platform's peers"),
    ],
)  # fmt: skip
def test_invalid_peers_are_refused(changes: dict[str, Any], reason: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_text(KEY)
    (tmp_path / "key").chmod(0o600)
    completed = start_process(tmp_path, f'[tier]\nkey = "{tmp_path / "key"}"\n', platform_document(**changes))
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1 and reason in completed.stderr


def test_a_tier_is_refused_if_the_platform_allows_no_peers(tmp_path: Path) -> None:
    (tmp_path / "key").write_text(KEY)
    (tmp_path / "key").chmod(0o600)
    document = configuration(discovery="127.0.0.1:1")
    completed = start_process(tmp_path, f'[tier]\nkey = "{tmp_path / "key"}"\n', document)
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1
    assert "the platform's settings allow no peers (Limits.Peers)" in completed.stderr


def test_without_the_table_no_module_of_the_tier_is_imported(tmp_path: Path) -> None:
    code = (
        "import sys, asyncio, driftstair.daemon as daemon\n"
        "from driftstair.__main__ import main\n"
        "serve = daemon.serve\n"
        "def ready():\n"
        "    bad = [n for n in sys.modules if n.startswith(('driftstair.tier', 'msgspec'))]\n"
        "    import os; os._exit(3 if bad else 0)\n"
        "async def wrapped(*args, **more):\n"
        "    return await serve(*args, **(more | {'ready': ready}))\n"
        "daemon.serve = wrapped\n"
        "sys.exit(main())\n"
    )
    assert start_process(tmp_path, "", platform_document(), code).returncode == 0
    (tmp_path / "key").write_text(KEY)
    (tmp_path / "key").chmod(0o600)
    assert (
        start_process(tmp_path, f'[tier]\nkey = "{tmp_path / "key"}"\n', platform_document(), code).returncode
        == 3
    )


def test_a_tier_without_budgets_imports_no_module_of_shared_state(tmp_path: Path) -> None:
    code = (
        "import sys, driftstair.daemon as daemon\n"
        "from driftstair.__main__ import main\n"
        "serve = daemon.serve\n"
        "def ready():\n"
        "    bad = [n for n in sys.modules if n.startswith('driftstair.tier.shar')]\n"
        "    import os; os._exit(3 if bad else 0)\n"
        "async def wrapped(*args, **more):\n"
        "    return await serve(*args, **(more | {'ready': ready}))\n"
        "daemon.serve = wrapped\n"
        "sys.exit(main())\n"
    )
    (tmp_path / "key").write_text(KEY)
    (tmp_path / "key").chmod(0o600)
    table = f'[tier]\nkey = "{tmp_path / "key"}"\n'
    assert start_process(tmp_path, table, platform_document(), code).returncode == 0
    assert (
        start_process(
            tmp_path, table + "[tier.budgets.b]\nper_s = 9.0\n", platform_document(), code
        ).returncode
        == 3
    )


@pytest.mark.parametrize("error_number", [errno.EAGAIN, errno.ENOBUFS, errno.ECONNREFUSED, errno.ENETUNREACH])
def test_a_datagram_that_can_not_be_sent_is_counted(error_number: int) -> None:
    class FailingSocket:
        def sendto(self, data: bytes, address: tuple[str, int]) -> int:
            raise OSError(error_number, os.strerror(error_number))

    async def test() -> None:
        udp_socket = UdpSocket(("127.0.0.1", 0), lambda data, source: None, 256)
        real_socket, udp_socket._socket = udp_socket._socket, FailingSocket()  # type: ignore[assignment]
        udp_socket.send(b"x", ("127.0.0.1", 9))
        assert udp_socket.send_errors == 1
        udp_socket._socket = real_socket
        udp_socket.close()

    run_for(test(), TIMEOUT_S)


def test_an_icmp_error_does_not_stop_reading() -> None:
    """The ICMP answer to a datagram for a closed port is reported as an error of the next read."""

    async def test() -> None:
        received: list[bytes] = []
        udp_socket = UdpSocket(("127.0.0.1", 0), lambda data, source: received.append(data), 256)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as closing:
            closing.bind(("127.0.0.1", 0))
            closed = closing.getsockname()
        udp_socket.send(b"nobody reads it", closed)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"word", udp_socket.address)
            await until(lambda: received)
        udp_socket.close()
        assert received == [b"word"]

    run_for(test(), TIMEOUT_S)
