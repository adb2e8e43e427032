"""Configuration by the change in the daemon's life: a process, scripted control servers, real requests."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from control_server import BUDGET, DRAIN, ROUTE, TENANT, ControlServer, Log, change
from rig import TIMEOUT_S, Client, Message, Server, answer, configuration, request, run, status, until
from test_process import Program, program

ROOT = Path(__file__).parents[2]
IN_FLIGHT_ONE = {"admit": {"in_flight": 1}, "match": {"class": ["page"]}}
SPENT_AT_ONCE = {"admit": {"rate": {"per_s": 0.001, "burst": 1.0}}, "match": {"class": ["page"]}}
FREE = {"match": {"class": ["page"]}}


def service(*servers: ControlServer, folder: Path | None = None, more: str = "") -> str:
    addresses = ", ".join(f'"{server.address}"' for server in servers) or '"127.0.0.1:1"'
    kept = "" if folder is None else f'folder = "{folder}"\n'
    return f"version = 1\n{more}\n[control]\nservers = [{addresses}]\n{kept}"


def environment(folder: Path, text: str) -> dict[str, str]:
    path = folder / "service.toml"
    path.write_text(text)
    return {**os.environ, "DRIFTSTAIR_SERVICE": str(path), "TMPDIR": str(folder)}


async def in_force(server: ControlServer, revision: int) -> None:
    """The node has reported it."""
    await until(lambda: server.reports and server.reports[-1].revision == revision)


async def asked(client: Client, **headers: str) -> int:
    return status(await client.ask(request(**headers)))


def test_a_change_is_in_force_on_the_next_request_and_no_request_is_lost(tmp_path: Path) -> None:
    """Clients ask on while changes come; each request is answered, refused by the limit or served."""

    async def test() -> None:
        log = Log()
        async with ControlServer() as control, Server("s-1") as server:
            control.begin = [log.freshness()]
            document = configuration(server)
            async with program(document, tmp_path, env=environment(tmp_path, service(control))) as node:
                clients = [await node.client() for _ in range(4)]
                assert await asked(clients[0]) == 200
                await until(lambda: control.queries)
                assert control.queries[0]["from"] == "0" and control.queries[0]["node"] == "n0"
                found: list[int] = []
                done = False

                async def asks_on(client: Client) -> None:
                    while not done:
                        found.append(await asked(client))

                asking = [asyncio.create_task(asks_on(client)) for client in clients[1:]]
                for number in range(30):
                    log.put(change(ROUTE, "pages", FREE if number % 2 else IN_FLIGHT_ONE))
                    control.say(log.changes(number))
                    await asyncio.sleep(0.01)
                await in_force(control, 30)
                done = True
                await asyncio.gather(*asking)
                assert set(found) <= {200, 503} and found.count(200) > 10
                log.put(change(ROUTE, "pages", SPENT_AT_ONCE))
                control.say(log.changes(30))
                await in_force(control, 31)
                assert [await asked(clients[0]) for _ in range(2)] == [200, 503]
                log.put(change(ROUTE, "pages", None))
                control.say(log.changes(31))
                await in_force(control, 32)
                assert await asked(clients[0]) == 200
                assert control.reports[-1].digest == f"{log.state.digest:016x}"
                assert control.report_connections == 1

    run(test())


def test_the_files_own_routes_go_first_and_paths_of_the_configuration_are_served(tmp_path: Path) -> None:
    async def test() -> None:
        log = Log()
        log.put(
            change(ROUTE, "by-config", SPENT_AT_ONCE),
            change(ROUTE, "tracks", {"match": {"path": "/tracks/{id}"}}),
            change(TENANT, "acme", {"per_s": 0.001, "burst": 1.0}),
        )
        own = '[[route]]\nname = "own"\nmatch = { path = "/api" }\n'
        async with ControlServer() as control, Server("s-1") as server:
            control.begin = [log.changes(), log.freshness()]
            env = environment(tmp_path, service(control, more=own))
            async with program(configuration(server), tmp_path, env=env) as node:
                await in_force(control, 1)
                client = await node.client()
                assert [await asked(client) for _ in range(3)] == [200, 200, 200]
                assert status(await client.ask(request(target="/tracks/7"))) == 200
                assert [await asked(client, X_Tenant="acme") for _ in range(2)] == [200, 503]
                assert await asked(client, X_Tenant="other") == 200
                assert status(await client.ask(request(target="/elsewhere"))) == 404

    run(test())


def free_port() -> int:
    with socket.socket() as own:
        own.bind(("127.0.0.1", 0))
        return int(own.getsockname()[1])


async def told(port: int) -> dict[str, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /control/configuration HTTP/1.1\r\nHost: ops\r\n\r\n")
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    assert head.split(b" ")[1] == b"200", head
    found: dict[str, Any] = json.loads(body)
    return found


def test_a_drain_is_shown_to_the_module_without_operators_and_operators_are_told_what_is_in_force(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        log = Log()
        log.put(change(DRAIN, "s-1", {"reason": "disk"}), change(ROUTE, "odd", {"match": {"class": ["no"]}}))
        log.put(change(DRAIN, "s-1", {}))
        async with ControlServer() as control, Server("s-1") as one, Server("s-2") as two:
            control.begin = [log.changes(), log.freshness()]
            plain = configuration(one, two)
            async with program(plain, tmp_path, env=environment(tmp_path, service(control))) as node:
                await in_force(control, 2)
                client = await node.client()
                assert [await asked(client) for _ in range(8)] == [200] * 8
                assert not one.seen and len(two.seen) == 8
                log.put(change(DRAIN, "s-1", None), change(DRAIN, "s-2", {}))
                control.say(log.changes(2))
                await in_force(control, 3)
                assert await asked(client) == 200 and len(one.seen) == 1
            port = free_port()
            with_operators = configuration(one, two) | {"ops": f"127.0.0.1:{port}"}
            control.begin = [log.changes(), log.freshness()]
            control.reports.clear()
            async with program(with_operators, tmp_path, env=environment(tmp_path, service(control))):
                await in_force(control, 3)
                found = await told(port)
                assert (found["revision"], found["digest"]) == (3, f"{log.state.digest:016x}")
                assert found["server"] == control.address and found["drained"] == ["s-2"]
                (refused,) = found["refused"]
                assert (refused["revision"], refused["resource"]) == (1, "route/odd")
                assert control.reports[-1].refused[0].revision == 1

    run(test())


def test_all_nodes_restarted_while_control_is_down_have_what_was_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        log = Log()
        log.put(change(ROUTE, "pages", SPENT_AT_ONCE))
        kept = tmp_path / "kept"
        kept.mkdir()
        async with Server("s-1") as server:
            async with ControlServer() as control:
                control.begin = [log.changes(), log.freshness()]
                env = environment(tmp_path, service(control, folder=kept))
                async with program(configuration(server), tmp_path, env=env) as node:
                    await in_force(control, 1)
                    await until(lambda: list(kept.glob("*.configuration")))
                    node.process.send_signal(signal.SIGTERM)
                    assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0
            async with program(configuration(server), tmp_path, env=env) as node:
                client = await node.client()
                assert [await asked(client) for _ in range(2)] == [200, 503]
                node.process.kill()
                await node.process.wait()
            async with program(configuration(server), tmp_path, env=env) as node:
                client = await node.client()
                assert [await asked(client) for _ in range(2)] == [200, 503]

    run(test())


async def lines_until(node: Program, word: str) -> str:
    assert node.process.stderr is not None
    while word not in (line := (await asyncio.wait_for(node.process.stderr.readline(), TIMEOUT_S)).decode()):
        assert line, "the node ended"
    return line


def with_class(document: dict[str, Any], name: str) -> dict[str, Any]:
    found: dict[str, Any] = json.loads(json.dumps(document))
    found["settings"]["Grades"].append(found["settings"]["Grades"][0] | {"Name": name})
    return found


def test_sighup_takes_another_file_and_judges_refused_sets_by_another_platform(tmp_path: Path) -> None:
    async def test() -> None:
        log = Log()
        log.put(change(ROUTE, "late", {"match": {"class": ["late"]}}), change(ROUTE, "pages", SPENT_AT_ONCE))
        async with ControlServer() as control, Server("s-1") as server:
            control.begin = [log.changes(), log.freshness()]
            document = configuration(server)
            env = environment(tmp_path, service(control))
            async with program(document, tmp_path, env=env) as node:
                await until(lambda: control.reports and control.reports[-1].refused)
                client = await node.client()
                assert [await asked(client) for _ in range(3)] == [200, 200, 200]
                (tmp_path / "config.json").write_text(json.dumps(with_class(document, "late")))
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "limits of")
                await until(lambda: not control.reports[-1].refused)
                assert [await asked(client) for _ in range(2)] == [200, 503]
                own = '[[route]]\nname = "own"\nmatch = { path = "/api" }\n'
                environment(tmp_path, service(control, more=own))
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "limits of")
                assert [await asked(client) for _ in range(3)] == [200, 200, 200]
                environment(tmp_path, "version = 9\n")
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "the new service file is not used")
                assert await asked(client) == 200 and len(control.queries) == 1

    run(test())


def test_a_request_on_a_route_that_changes_meanwhile_keeps_its_place_in_flight(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        with suppress(OSError):
            writer.write(answer())

    async def test() -> None:
        log = Log()
        log.put(change(ROUTE, "pages", IN_FLIGHT_ONE))
        async with ControlServer() as control, Server("s-1", waits) as server:
            control.begin = [log.changes(), log.freshness()]
            env = environment(tmp_path, service(control))
            async with program(configuration(server), tmp_path, env=env) as node:
                await in_force(control, 1)
                holds, other = await node.client(), await node.client()
                holds.writer.write(request())
                await until(lambda: server.seen)
                assert await asked(other) == 503
                log.put(change(ROUTE, "pages", IN_FLIGHT_ONE | {"timeout": {"total": "8s"}}))
                control.say(log.changes(1))
                await in_force(control, 2)
                assert await asked(other) == 503  # the one from before counts
                release.set()
                assert status(await holds.read()) == 200
                assert await asked(other) == 200

    run(test())


def test_a_budget_without_a_cluster_is_refused_and_says_so(tmp_path: Path) -> None:
    async def test() -> None:
        log = Log()
        log.put(change(BUDGET, "all", {"per_s": 10.0}))
        log.put(change(TENANT, "acme", {"in_flight": 1}))
        async with ControlServer() as control, Server("s-1") as server:
            control.begin = [log.changes(), log.freshness()]
            env = environment(tmp_path, service(control))
            async with program(configuration(server), tmp_path, env=env):
                await in_force(control, 2)
                (refused,) = control.reports[-1].refused
                assert refused.resource == "budget/all" and "[tier]" in refused.reason

    run(test())


def in_a_cluster(document: dict[str, Any]) -> dict[str, Any]:
    """A cluster of this one node."""
    found: dict[str, Any] = json.loads(json.dumps(document))
    found["settings"] |= {"SelfIndex": 0, "PeersTotal": 1, "MyZone": 0}
    found["settings"]["Limits"]["Peers"] = True
    own = f"127.0.0.1:{free_port()}"
    return found | {"peer_listen": own, "peers": [own]}


def test_budgets_of_the_configuration_go_to_the_cluster_beside_the_files_and_outlive_its_reload(
    tmp_path: Path,
) -> None:
    key = tmp_path / "key"
    key.write_text("the key of a cluster of tests")
    key.chmod(0o600)
    cluster = f'[tier]\nkey = "{key}"\nperiod = "200ms"\n'
    paced = {"match": {"class": ["page"]}, "admit": {"rate": {"fleet": "all"}}}

    async def test() -> None:
        log = Log()
        log.put(change(BUDGET, "all", {"per_s": 0.01, "burst": "300s"}), change(ROUTE, "pages", paced))
        log.put(change(BUDGET, "small", {"per_s": 0.01, "burst": "1s"}))
        async with ControlServer() as control, Server("s-1") as server:
            control.begin = [log.changes(), log.freshness()]
            env = environment(tmp_path, service(control, more=cluster))
            document = in_a_cluster(configuration(server))
            async with program(document, tmp_path, env=env) as node:
                await in_force(control, 2)
                (refused,) = control.reports[-1].refused
                assert refused.resource == "budget/small" and "never has one" in refused.reason
                client = await node.client()
                found = [await asked(client) for _ in range(6)]
                assert 503 in found and found.count(200) <= 4, found
                log.put(change(BUDGET, "all", {"per_s": 1000.0, "burst": "1s"}))
                control.say(log.changes(2))
                await in_force(control, 3)
                while await asked(client) != 200:  # until enough is saved up
                    await asyncio.sleep(0.01)
                own = cluster + "[tier.budgets.own]\nper_s = 5.0\n"
                environment(tmp_path, service(control, more=own))
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "limits of")
                await asyncio.sleep(0.05)  # what is saved up
                assert [await asked(client) for _ in range(10)] == [200] * 10

    run(test())


@pytest.mark.parametrize(
    ("table", "words"),
    [
        ("servers = []", "control.servers"), ('servers = ["box:1"]', "is no address"),
        ("servers = " + json.dumps(["10.0.0.1:1"] * 8), "control.servers"),
        ('servers = ["10.0.0.1:1"]\nfolder = "/nowhere/at/all"', "is no folder"),
        ('servers = ["10.0.0.1:1"]\nfile = "x"', "no such key"),
    ],
)  # fmt: skip
def test_a_bad_table_is_one_line_and_exit_status_2(table: str, words: str, tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(configuration()))
    done = subprocess.run(
        [sys.executable, "-m", "driftstair"], cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S,
        env={**environment(tmp_path, f"version = 1\n[control]\n{table}\n"), "BALANCER_CONFIG": str(config)},
    )  # fmt: skip
    assert done.returncode == 2 and "Traceback" not in done.stderr
    (line,) = done.stderr.splitlines()
    assert words in line and line.startswith(f"driftstair: {tmp_path / 'service.toml'}:")


LOADED = "print(sorted(one for one in sys.modules if one.startswith({names!r})))"
AT_A_START = (
    "import sys, driftstair.__main__, driftstair.daemon, driftstair.net.node, driftstair.net.frontend\n"
)
WITH_A_FILE = (
    "import sys, asyncio\n"
    "from driftstair.config import load\n"
    "from driftstair.daemon import build_node\n"
    "from driftstair.net.system import SOCKET_SYSTEM\n"
    "from driftstair.service.service_file import ServiceFile\n"
    "async def main():\n"
    "    config = load({{'BALANCER_CONFIG': {path!r}}})\n"
    "    file = ServiceFile('f', {text!r})\n"
    "    table = file.table(config, 500)\n"
    "    assert file.tier(config, SOCKET_SYSTEM) is None\n"
    "    assert file.configuration(config, 500, SOCKET_SYSTEM) is None\n"
    "    build_node(config, limits=table)\n"
    "asyncio.run(main())\n"
)
OURS = ("driftstair.configuration", "driftstair.node_configuration", "driftstair.record_file", "msgspec")


@pytest.mark.parametrize("with_file", [False, True])
def test_off_nothing_of_it_is_loaded(with_file: bool, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration()))
    names = OURS if with_file else (*OURS, "pydantic", "driftstair.service", "driftstair.limits")
    code = AT_A_START
    if with_file:
        code = WITH_A_FILE.format(path=str(path), text='version = 1\n[[route]]\nname = "r"\n')
    done = subprocess.run(
        [sys.executable, "-c", code + LOADED.format(names=names)], cwd=ROOT, capture_output=True, text=True,
        timeout=TIMEOUT_S,
    )  # fmt: skip
    assert done.stdout.strip() == "[]", done.stdout + done.stderr


def test_nothing_of_the_net_imports_it() -> None:
    """Late imports and types apart."""
    for path in (*(ROOT / "driftstair" / "net").glob("*.py"), ROOT / "driftstair" / "daemon.py"):
        lines = [line for line in path.read_text().splitlines() if "driftstair.node_configuration" in line]
        assert all(line.startswith(" ") for line in lines), path
