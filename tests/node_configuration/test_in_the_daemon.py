"""Dynamic configuration of a daemon process, with scripted control servers and real requests."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from control_server import BUDGET, DRAIN, ROUTE, TENANT, ChangeLog, ControlServer, change
from rig import (
    TIMEOUT_S,
    Client,
    Message,
    Server,
    answer,
    configuration,
    free_port,
    request,
    run,
    status,
    until,
)  # fmt: skip
from test_process import Program, program

ROOT = Path(__file__).parents[2]
IN_FLIGHT_ONE = {"admit": {"in_flight": 1}, "match": {"class": ["page"]}}
USED_UP_AT_ONCE = {"admit": {"rate": {"per_s": 0.001, "burst": 1.0}}, "match": {"class": ["page"]}}
UNLIMITED = {"match": {"class": ["page"]}}


def service_file(*servers: ControlServer, folder: Path | None = None, extra_tables: str = "") -> str:
    """The text of a service file with a `[control]` table."""
    addresses = ", ".join(f'"{server.address}"' for server in servers) or '"127.0.0.1:1"'
    folder_line = "" if folder is None else f'folder = "{folder}"\n'
    return f"version = 1\n{extra_tables}\n[control]\nservers = [{addresses}]\n{folder_line}"


def environment(folder: Path, text: str) -> dict[str, str]:
    """Writes the service file; returns the environment of a daemon that reads it."""
    path = folder / "service.toml"
    path.write_text(text)
    return {**os.environ, "DRIFTSTAIR_SERVICE": str(path), "TMPDIR": str(folder)}


async def until_in_force(server: ControlServer, revision: int) -> None:
    """Waits until the node has reported a revision."""
    await until(lambda: server.reports and server.reports[-1].revision == revision)


async def request_status(client: Client, **headers: str) -> int:
    """Sends a request; returns the status of its answer."""
    return status(await client.ask(request(**headers)))


def test_a_change_applies_to_the_next_request_and_no_request_is_lost(tmp_path: Path) -> None:
    """Clients send requests while changes arrive; each is answered, or refused because of a limit."""

    async def test() -> None:
        log = ChangeLog()
        async with ControlServer() as control, Server("s-1") as server:
            control.initial_messages = [log.freshness()]
            document = configuration(server)
            async with program(document, tmp_path, env=environment(tmp_path, service_file(control))) as node:
                clients = [await node.client() for _ in range(4)]
                assert await request_status(clients[0]) == 200
                await until(lambda: control.queries)
                assert control.queries[0]["from"] == "0" and control.queries[0]["node"] == "n0"
                statuses: list[int] = []
                is_finished = False

                async def send_requests(client: Client) -> None:
                    while not is_finished:
                        statuses.append(await request_status(client))

                tasks = [asyncio.create_task(send_requests(client)) for client in clients[1:]]
                for number in range(30):
                    log.put(change(ROUTE, "pages", UNLIMITED if number % 2 else IN_FLIGHT_ONE))
                    control.send(log.changes(number))
                    await asyncio.sleep(0.01)
                await until_in_force(control, 30)
                is_finished = True
                await asyncio.gather(*tasks)
                assert set(statuses) <= {200, 503} and statuses.count(200) > 10
                log.put(change(ROUTE, "pages", USED_UP_AT_ONCE))
                control.send(log.changes(30))
                await until_in_force(control, 31)
                assert [await request_status(clients[0]) for _ in range(2)] == [200, 503]
                log.put(change(ROUTE, "pages", None))
                control.send(log.changes(31))
                await until_in_force(control, 32)
                assert await request_status(clients[0]) == 200
                assert control.reports[-1].digest == f"{log.state.digest:016x}"
                assert control.report_connections == 1

    run(test())


def test_routes_of_the_file_take_precedence_and_paths_of_the_configuration_are_served(tmp_path: Path) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(
            change(ROUTE, "by-config", USED_UP_AT_ONCE),
            change(ROUTE, "tracks", {"match": {"path": "/tracks/{id}"}}),
            change(TENANT, "acme", {"per_s": 0.001, "burst": 1.0}),
        )
        file_routes = '[[route]]\nname = "own"\nmatch = { path = "/api" }\n'
        async with ControlServer() as control, Server("s-1") as server:
            control.initial_messages = [log.changes(), log.freshness()]
            env = environment(tmp_path, service_file(control, extra_tables=file_routes))
            async with program(configuration(server), tmp_path, env=env) as node:
                await until_in_force(control, 1)
                client = await node.client()
                assert [await request_status(client) for _ in range(3)] == [200, 200, 200]
                assert status(await client.ask(request(target="/tracks/7"))) == 200
                assert [await request_status(client, X_Tenant="acme") for _ in range(2)] == [200, 503]
                assert await request_status(client, X_Tenant="other") == 200
                assert status(await client.ask(request(target="/elsewhere"))) == 404

    run(test())


async def operator_view(port: int) -> dict[str, Any]:
    """The status of the configuration, from the operators' endpoint."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /control/configuration HTTP/1.1\r\nHost: ops\r\n\r\n")
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    assert head.split(b" ")[1] == b"200", head
    view: dict[str, Any] = json.loads(body)
    return view


def test_a_drain_takes_effect_without_operators_and_operators_can_see_what_is_in_force(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(change(DRAIN, "s-1", {"reason": "disk"}), change(ROUTE, "odd", {"match": {"class": ["no"]}}))
        log.put(change(DRAIN, "s-1", {}))
        async with ControlServer() as control, Server("s-1") as server_1, Server("s-2") as server_2:
            control.initial_messages = [log.changes(), log.freshness()]
            without_operators = configuration(server_1, server_2)
            async with program(
                without_operators, tmp_path, env=environment(tmp_path, service_file(control))
            ) as node:
                await until_in_force(control, 2)
                client = await node.client()
                assert [await request_status(client) for _ in range(8)] == [200] * 8
                assert not server_1.seen and len(server_2.seen) == 8
                log.put(change(DRAIN, "s-1", None), change(DRAIN, "s-2", {}))
                control.send(log.changes(2))
                await until_in_force(control, 3)
                assert await request_status(client) == 200 and len(server_1.seen) == 1
            port = free_port()
            with_operators = configuration(server_1, server_2) | {"ops": f"127.0.0.1:{port}"}
            control.initial_messages = [log.changes(), log.freshness()]
            control.reports.clear()
            async with program(with_operators, tmp_path, env=environment(tmp_path, service_file(control))):
                await until_in_force(control, 3)
                view = await operator_view(port)
                assert (view["revision"], view["digest"]) == (3, f"{log.state.digest:016x}")
                assert view["server"] == control.address and view["drained"] == ["s-2"]
                (refused,) = view["refused"]
                assert (refused["revision"], refused["resource"]) == (1, "route/odd")
                assert control.reports[-1].refused[0].revision == 1

    run(test())


def test_a_node_restarted_without_control_servers_has_the_last_configuration_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(change(ROUTE, "pages", USED_UP_AT_ONCE))
        state_folder = tmp_path / "kept"
        state_folder.mkdir()
        async with Server("s-1") as server:
            async with ControlServer() as control:
                control.initial_messages = [log.changes(), log.freshness()]
                env = environment(tmp_path, service_file(control, folder=state_folder))
                async with program(configuration(server), tmp_path, env=env) as node:
                    await until_in_force(control, 1)
                    await until(lambda: list(state_folder.glob("*.configuration")))
                    node.process.send_signal(signal.SIGTERM)
                    assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0
            async with program(configuration(server), tmp_path, env=env) as node:
                client = await node.client()
                assert [await request_status(client) for _ in range(2)] == [200, 503]
                node.process.kill()
                await node.process.wait()
            async with program(configuration(server), tmp_path, env=env) as node:
                client = await node.client()
                assert [await request_status(client) for _ in range(2)] == [200, 503]

    run(test())


async def lines_until(node: Program, word: str) -> str:
    """Reads the node's log up to a line with this text."""
    assert node.process.stderr is not None
    while word not in (line := (await asyncio.wait_for(node.process.stderr.readline(), TIMEOUT_S)).decode()):
        assert line, "the node ended"
    return line


def with_class(document: dict[str, Any], name: str) -> dict[str, Any]:
    """The platform's configuration with one more class."""
    changed: dict[str, Any] = json.loads(json.dumps(document))
    changed["settings"]["Grades"].append(changed["settings"]["Grades"][0] | {"Name": name})
    return changed


def test_sighup_reads_the_files_again_and_validates_refused_change_sets_again(tmp_path: Path) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(
            change(ROUTE, "late", {"match": {"class": ["late"]}}), change(ROUTE, "pages", USED_UP_AT_ONCE)
        )
        async with ControlServer() as control, Server("s-1") as server:
            control.initial_messages = [log.changes(), log.freshness()]
            document = configuration(server)
            env = environment(tmp_path, service_file(control))
            async with program(document, tmp_path, env=env) as node:
                await until(lambda: control.reports and control.reports[-1].refused)
                client = await node.client()
                assert [await request_status(client) for _ in range(3)] == [200, 200, 200]
                (tmp_path / "config.json").write_text(json.dumps(with_class(document, "late")))
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "limits of")
                await until(lambda: not control.reports[-1].refused)
                assert [await request_status(client) for _ in range(2)] == [200, 503]
                file_routes = '[[route]]\nname = "own"\nmatch = { path = "/api" }\n'
                environment(tmp_path, service_file(control, extra_tables=file_routes))
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "limits of")
                assert [await request_status(client) for _ in range(3)] == [200, 200, 200]
                environment(tmp_path, "version = 9\n")
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "the new service file is not used")
                assert await request_status(client) == 200 and len(control.queries) == 1

    run(test())


def test_a_request_stays_counted_in_flight_while_its_route_changes(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def wait_for_release(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        with suppress(OSError):
            writer.write(answer())

    async def test() -> None:
        log = ChangeLog()
        log.put(change(ROUTE, "pages", IN_FLIGHT_ONE))
        async with ControlServer() as control, Server("s-1", wait_for_release) as server:
            control.initial_messages = [log.changes(), log.freshness()]
            env = environment(tmp_path, service_file(control))
            async with program(configuration(server), tmp_path, env=env) as node:
                await until_in_force(control, 1)
                holder, other = await node.client(), await node.client()
                holder.writer.write(request())
                await until(lambda: server.seen)
                assert await request_status(other) == 503
                log.put(change(ROUTE, "pages", IN_FLIGHT_ONE | {"timeout": {"total": "8s"}}))
                control.send(log.changes(1))
                await until_in_force(control, 2)
                assert await request_status(other) == 503  # the request from before the change still counts
                release.set()
                assert status(await holder.read()) == 200
                assert await request_status(other) == 200

    run(test())


def test_a_budget_without_a_cluster_is_refused_with_this_reason(tmp_path: Path) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(change(BUDGET, "all", {"per_s": 10.0}))
        log.put(change(TENANT, "acme", {"in_flight": 1}))
        async with ControlServer() as control, Server("s-1") as server:
            control.initial_messages = [log.changes(), log.freshness()]
            env = environment(tmp_path, service_file(control))
            async with program(configuration(server), tmp_path, env=env):
                await until_in_force(control, 2)
                (refused,) = control.reports[-1].refused
                assert refused.resource == "budget/all" and "[tier]" in refused.reason

    run(test())


def with_cluster(document: dict[str, Any]) -> dict[str, Any]:
    """The platform's configuration of a cluster with a single node."""
    changed: dict[str, Any] = json.loads(json.dumps(document))
    changed["settings"] |= {"SelfIndex": 0, "PeersTotal": 1, "MyZone": 0}
    changed["settings"]["Limits"]["Peers"] = True
    peer_address = f"127.0.0.1:{free_port()}"
    return changed | {"peer_listen": peer_address, "peers": [peer_address]}


def test_budgets_of_the_configuration_are_set_beside_those_of_the_file_and_survive_its_reload(
    tmp_path: Path,
) -> None:
    key = tmp_path / "key"
    key.write_text("the key of a cluster of tests")
    key.chmod(0o600)
    cluster = f'[tier]\nkey = "{key}"\nperiod = "200ms"\n'
    rate_limited = {"match": {"class": ["page"]}, "admit": {"rate": {"fleet": "all"}}}

    async def test() -> None:
        log = ChangeLog()
        log.put(change(BUDGET, "all", {"per_s": 0.01, "burst": "300s"}), change(ROUTE, "pages", rate_limited))
        log.put(change(BUDGET, "small", {"per_s": 0.01, "burst": "1s"}))
        async with ControlServer() as control, Server("s-1") as server:
            control.initial_messages = [log.changes(), log.freshness()]
            env = environment(tmp_path, service_file(control, extra_tables=cluster))
            document = with_cluster(configuration(server))
            async with program(document, tmp_path, env=env) as node:
                await until_in_force(control, 2)
                (refused,) = control.reports[-1].refused
                assert refused.resource == "budget/small" and "never has one" in refused.reason
                client = await node.client()
                statuses = [await request_status(client) for _ in range(6)]
                assert 503 in statuses and statuses.count(200) <= 4, statuses
                log.put(change(BUDGET, "all", {"per_s": 1000.0, "burst": "1s"}))
                control.send(log.changes(2))
                await until_in_force(control, 3)
                while await request_status(client) != 200:  # until the budget has a token
                    await asyncio.sleep(0.01)
                cluster_with_budget = cluster + "[tier.budgets.own]\nper_s = 5.0\n"
                environment(tmp_path, service_file(control, extra_tables=cluster_with_budget))
                node.process.send_signal(signal.SIGHUP)
                await lines_until(node, "limits of")
                await asyncio.sleep(0.05)  # saves up tokens for ten requests
                assert [await request_status(client) for _ in range(10)] == [200] * 10

    run(test())


@pytest.mark.parametrize(
    ("table", "expected_text"),
    [
        ("servers = []", "control.servers"), ('servers = ["box:1"]', "is no address"),
        ("servers = " + json.dumps(["10.0.0.1:1"] * 8), "control.servers"),
        ('servers = ["10.0.0.1:1"]\nfolder = "/nowhere/at/all"', "is no folder"),
        ('servers = ["10.0.0.1:1"]\nfile = "x"', "no such key"),
    ],
)  # fmt: skip
def test_an_invalid_control_table_is_reported_in_one_line_with_exit_status_2(
    table: str, expected_text: str, tmp_path: Path
) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(configuration()))
    process = subprocess.run(
        [sys.executable, "-m", "driftstair"], cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S,
        env={**environment(tmp_path, f"version = 1\n[control]\n{table}\n"), "BALANCER_CONFIG": str(config)},
    )  # fmt: skip
    assert process.returncode == 2 and "Traceback" not in process.stderr
    (line,) = process.stderr.splitlines()
    assert expected_text in line and line.startswith(f"driftstair: {tmp_path / 'service.toml'}:")


PRINT_LOADED_MODULES = "print(sorted(one for one in sys.modules if one.startswith({names!r})))"
IMPORT_DAEMON = (
    "import sys, driftstair.__main__, driftstair.daemon, driftstair.net.node, driftstair.net.frontend\n"
)
BUILD_NODE_WITH_FILE = (
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
CONFIGURATION_MODULES = (
    "driftstair.configuration",
    "driftstair.node_configuration",
    "driftstair.record_file",
    "msgspec",
)


@pytest.mark.parametrize("has_service_file", [False, True])
def test_without_a_control_table_no_configuration_module_is_loaded(
    has_service_file: bool, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration()))
    names = (
        CONFIGURATION_MODULES
        if has_service_file
        else (*CONFIGURATION_MODULES, "pydantic", "driftstair.service", "driftstair.limits")
    )
    code = IMPORT_DAEMON
    if has_service_file:
        code = BUILD_NODE_WITH_FILE.format(path=str(path), text='version = 1\n[[route]]\nname = "r"\n')
    process = subprocess.run(
        [sys.executable, "-c", code + PRINT_LOADED_MODULES.format(names=names)], cwd=ROOT,
        capture_output=True, text=True, timeout=TIMEOUT_S,
    )  # fmt: skip
    assert process.stdout.strip() == "[]", process.stdout + process.stderr


def test_net_modules_and_daemon_do_not_import_the_package_at_module_level() -> None:
    """Imports inside functions and for type checking are allowed: they are indented."""
    for path in (*(ROOT / "driftstair" / "net").glob("*.py"), ROOT / "driftstair" / "daemon.py"):
        lines = [line for line in path.read_text().splitlines() if "driftstair.node_configuration" in line]
        assert all(line.startswith(" ") for line in lines), path
