"""The tier in the program: bad input, other versions, floods, new peers, and those who ask."""

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

MOST = 180.0  # s that only a test that has failed takes

# A later version of the program: more fields at the end of each array, a kind of message that this one does
# not know, and another number among its traits.
LATER = """
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

# One whose datagrams have another form altogether.
UNLIKE = """
import sys
from driftstair.__main__ import main
from driftstair.tier import wire
wire.VERSION = 7
sys.exit(main())
"""


def test_half_of_the_nodes_on_a_later_version_are_one_tier(tmp_path: Path) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 5) as fleet:
            fleet.programs |= dict.fromkeys((1, 3), LATER)
            await fleet.start()
            await fleet.wait_joined()
            await fleet.kill(3)
            await fleet.wait_for_state((3,), "dead")
            fleet.programs[3] = ""  # the upgrade is taken back
            await fleet.start(3)
            await fleet.wait_joined()
            assert any("other_kind" in line for lines in fleet.log_lines.values() for line in lines)

    run_for(test(), MOST)


def test_nodes_that_speak_another_form_are_passed_over_and_join_once_they_are_upgraded(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 4) as fleet:
            fleet.programs |= dict.fromkeys((2, 3), UNLIKE)
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

    run_for(test(), MOST)


def test_a_flood_from_outside_kills_nobody_and_requests_are_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 3, period="500ms") as fleet:
            await fleet.start()
            await fleet.wait_joined()
            port = int(fleet.document(0)["peer_listen"].rsplit(":", 1)[1])
            stop = asyncio.Event()

            async def flood() -> None:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                    while not stop.is_set():
                        for _ in range(200):
                            stranger.sendto(os.urandom(200), ("127.0.0.1", port))
                        await asyncio.sleep(0.005)

            flooding = asyncio.create_task(flood())
            try:
                for _ in range(60):
                    client = Client(*await asyncio.open_connection(*fleet.addresses[0]))
                    # There is no server, and it says so.
                    assert status(await client.ask(request())) == 503
                    client.writer.close()
                await fleet.wait_until(lambda: any("unknown_address" in line for line in fleet.log_lines[0]))
            finally:
                stop.set()
                await flooding
            await fleet.wait_joined()
            # The kernel drops what is not read of a flood, and what peers send with it. The others bear it.
            assert not [one for _, one in fleet.dead_verdicts() if one.member != 0]

    run_for(test(), MOST)


def test_numbers_that_shift_by_sighup_are_new_members(tmp_path: Path) -> None:
    """Node 1's machine is taken away: node 2 becomes number 1, and the tier has two nodes."""

    async def test() -> None:
        async with Fleet(tmp_path, 3) as fleet:
            await fleet.start()
            await fleet.wait_joined()
            before = {number: fleet.document(number) for number in (0, 2)}
            await fleet.terminate(1)
            fleet.relay.close()
            ports = [int(before[number]["peer_listen"].rsplit(":", 1)[1]) for number in (0, 2)]
            fleet.relay = Relay(fleet.links, ports)
            for place, number in enumerate((0, 2)):
                document = before[number] | {"peers": fleet.relay.peer_addresses(place)}
                document["settings"] |= {"SelfIndex": place, "PeersTotal": 2}
                (tmp_path / f"n{number}.json").write_text(json.dumps(document))
                fleet.process(number).send_signal(signal.SIGHUP)

            def both() -> bool:
                latest = {}
                for process in fleet.run_record().processes:
                    for held in process.view_changes:
                        latest[process.node, held.member] = held.state
                return latest.get((0, 1)) == "alive" and latest.get((1, 0)) == "alive"

            await fleet.wait_until(both, "the two never found each other under their new numbers")

    run_for(test(), MOST)


def asked(address: str, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "driftstair", "tier", "show", address, *options], cwd=ROOT,
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip


def test_a_running_node_says_what_it_holds_of_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 3) as fleet:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                desk = f"127.0.0.1:{probe.getsockname()[1]}"
            await fleet.start(0, env={"BALANCER_OPS": desk})
            await fleet.start(1, 2)
            await fleet.wait_joined()
            fleet.stop(2)
            await fleet.wait_for_state((2,), "dead")
            await fleet.wait_until(lambda: 0 in fleet.addresses)
            shown = await asyncio.to_thread(asked, desk, "--json")
            found = json.loads(shown.stdout)
            assert [(one["number"], one["state"]) for one in found["members"]] == [(1, "alive"), (2, "dead")]
            assert found["members"][0]["round_trip_s"] > 0
            plain = await asyncio.to_thread(asked, desk)
            assert plain.returncode == 0 and "dead" in plain.stdout and "round trip ms" in plain.stdout
            await fleet.kill(0)
            gone = await asyncio.to_thread(asked, desk)
            assert gone.returncode == 2 and gone.stderr.count("\n") == 1 and "refused" in gone.stderr

    run_for(test(), MOST)


# Off, and refused.


def started(
    folder: Path, table: str, document: dict[str, Any], code: str = ""
) -> subprocess.CompletedProcess[str]:
    (folder / "service.toml").write_text(f"version = 1\n{table}")
    (folder / "config.json").write_text(json.dumps(document))
    options = ["-c", code] if code else ["-m", "driftstair"]
    return subprocess.run(
        [sys.executable, *options, "--service", str(folder / "service.toml")], cwd=ROOT, capture_output=True,
        text=True, timeout=60, env={**os.environ, "BALANCER_CONFIG": str(folder / "config.json")},
    )  # fmt: skip


def told(**changes: Any) -> dict[str, Any]:
    document = configuration(discovery="127.0.0.1:1", Peers=True)
    document["settings"] |= {"SelfIndex": 0, "PeersTotal": 2}
    return document | {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1", "127.0.0.1:2"]} | changes


@pytest.mark.parametrize(
    ("table", "why"),
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
def test_a_bad_table_is_one_line_and_status_2(table: str, why: str, tmp_path: Path) -> None:
    for name, content, mode in (("key", KEY, 0o600), ("open", KEY, 0o644), ("empty", "", 0o600)):
        (tmp_path / name).write_text(content)
        (tmp_path / name).chmod(mode)
    for name in ("key", "open", "empty", "none"):
        table = table.replace(f"{{{name}}}", str(tmp_path / name))
    done = started(tmp_path, table, told())
    assert done.returncode == 2
    (line,) = done.stderr.splitlines()
    assert why in line and "service.toml" in line and ("tier" in line or "fleet" in line)


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({"peers": []}, "no list of 1 to"), ({"peers": ["127.0.0.1:1"] * 2}, "duplicate address"),
        ({"peers": ["x"]}, "the platform's peers"), ({"peer_listen": None}, "the platform's peers"),
    ],
)  # fmt: skip
def test_peers_that_are_no_tier_are_refused(changes: dict[str, Any], why: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_text(KEY)
    (tmp_path / "key").chmod(0o600)
    done = started(tmp_path, f'[tier]\nkey = "{tmp_path / "key"}"\n', told(**changes))
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and why in done.stderr


def test_settings_that_allow_no_peers_refuse_the_table(tmp_path: Path) -> None:
    (tmp_path / "key").write_text(KEY)
    (tmp_path / "key").chmod(0o600)
    document = configuration(discovery="127.0.0.1:1")
    done = started(tmp_path, f'[tier]\nkey = "{tmp_path / "key"}"\n', document)
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    assert "the platform's settings allow no peers (Limits.Peers)" in done.stderr


def test_without_the_table_nothing_of_a_tier_is_imported(tmp_path: Path) -> None:
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
    assert started(tmp_path, "", told(), code).returncode == 0
    (tmp_path / "key").write_text(KEY)
    (tmp_path / "key").chmod(0o600)
    assert started(tmp_path, f'[tier]\nkey = "{tmp_path / "key"}"\n', told(), code).returncode == 3


def test_a_tier_without_budgets_loads_nothing_of_shared_state(tmp_path: Path) -> None:
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
    assert started(tmp_path, table, told(), code).returncode == 0
    assert started(tmp_path, table + "[tier.budgets.b]\nper_s = 9.0\n", told(), code).returncode == 3


@pytest.mark.parametrize("number", [errno.EAGAIN, errno.ENOBUFS, errno.ECONNREFUSED, errno.ENETUNREACH])
def test_a_datagram_that_can_t_be_sent_is_counted(number: int) -> None:
    class Full:
        def sendto(self, data: bytes, address: tuple[str, int]) -> int:
            raise OSError(number, os.strerror(number))

    async def test() -> None:
        one = UdpSocket(("127.0.0.1", 0), lambda data, source: None, 256)
        real, one._socket = one._socket, Full()  # type: ignore[assignment]
        one.send(b"x", ("127.0.0.1", 9))
        assert one.send_errors == 1
        one._socket = real
        one.close()

    run_for(test(), MOST)


def test_an_icmp_does_not_stop_the_reading() -> None:
    """What was sent to a closed port comes back as an error of the next read."""

    async def test() -> None:
        came: list[bytes] = []
        one = UdpSocket(("127.0.0.1", 0), lambda data, source: came.append(data), 256)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            closed = other.getsockname()
        one.send(b"nobody reads it", closed)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as friend:
            friend.sendto(b"word", one.address)
            await until(lambda: came)
        one.close()
        assert came == [b"word"]

    run_for(test(), MOST)
