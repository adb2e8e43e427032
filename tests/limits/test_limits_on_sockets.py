"""Each limit on real sockets, and the handling of the service file by the daemon and the command line."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from rig import (
    TIMEOUT_S,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    request,
    run,
    sends,
    silent,
    status,
    until,
)
from test_process import program

from driftstair.net.frontend import Frontend

ROOT = Path(__file__).parents[2]


def routes(*tables: str) -> str:
    return "version = 1\n" + "".join(f'[[route]]\nname = "r{n}"\n{one}\n' for n, one in enumerate(tables))


def test_a_total_time_out_answers_before_the_client_deadline() -> None:
    async def test() -> None:
        text = routes('timeout = { total = "150ms" }')
        async with Server("s-1", silent) as server, Rig(configuration(server), text) as node:
            client = await node.client()
            got = await client.ask(request(X_Deadline="9000m"))
            assert status(got) in (502, 503, 504)
            assert [one.result.value for one in node.spy.outcomes()] == ["timeout"]

    run(test())


def test_an_attempt_time_out_leaves_time_for_another_box() -> None:
    async def test() -> None:
        async with Server("s-1", silent) as one, Server("s-2") as other:
            text = routes('timeout = { attempt = "500ms" }\nretry = { attempts = 2 }')
            async with Rig(configuration(one, other), text) as node:
                client = await node.client()
                for _ in range(4):
                    assert status(await client.ask(request())) == 200
                assert len(one.seen) <= 4 and len(other.seen) == 4

    run(test())


def test_a_first_byte_time_out_ends_when_the_answer_begins() -> None:
    async def begins(_: Message, writer: asyncio.StreamWriter) -> None:
        whole = answer(body=b"slow frame")
        writer.write(whole[:20])
        await asyncio.sleep(1.2)
        writer.write(whole[20:])

    async def test() -> None:
        text = routes('timeout = { first_byte = "800ms" }\nretry = { attempts = 1 }')
        async with Server("s-1", begins) as server, Rig(configuration(server), text) as node:
            client = await node.client()
            assert (await client.ask(request())).body == b"slow frame"
        async with Server("s-1", silent) as server, Rig(configuration(server), text) as node:
            client = await node.client()
            assert status(await client.ask(request())) in (502, 503, 504)
            (outcome,) = node.spy.outcomes()
            assert outcome.result.value == "timeout" and outcome.elapsed < 5_000_000_000

    run(test())


def test_requests_in_flight_are_limited_per_route() -> None:
    release = asyncio.Event()

    async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer())

    async def test() -> None:
        text = routes('match = { class = "page" }\nadmit = { in_flight = 1 }')
        async with Server("s-1", waits) as server, Rig(configuration(server), text) as node:
            first, second, other = [await node.client() for _ in range(3)]
            first.writer.write(request())
            await until(lambda: server.seen)
            refused = await second.ask(request())
            assert status(refused) == 503 and float(refused.headers["retry-after"]) > 0
            other.writer.write(request("order", method="POST"))  # not limited by the route
            await until(lambda: len(server.seen) == 2)
            release.set()
            assert status(await first.read()) == status(await other.read()) == 200
            assert status(await second.ask(request())) == 200

    run(test())


def test_a_rate_per_tenant_sends_retry_after() -> None:
    async def test() -> None:
        document = configuration(discovery="127.0.0.1:9")
        async with Server("s-1") as server:
            document = configuration(server)
            document["settings"]["Tenants"] = [{"Name": "a", "Share": 0.5}, {"Name": "b", "Share": 0.5}]
            text = routes('admit = { rate = { per_s = 0.5, burst = 1.0, by = "tenant" } }')
            async with Rig(document, text) as node:
                client = await node.client()
                assert status(await client.ask(request(X_Tenant="a"))) == 200
                refused = await client.ask(request(X_Tenant="a"))
                assert status(refused) == 503
                assert 1.0 < float(refused.headers["retry-after"]) <= 1.5  # capped by the platform
                assert status(await client.ask(request(X_Tenant="b"))) == 200

    run(test())


def test_a_body_above_the_limit_of_its_route_is_rejected() -> None:
    async def test() -> None:
        text = routes('match = { class = "order" }\nadmit = { body = "1KiB" }')
        async with Server("s-1") as server, Rig(configuration(server), text) as node:
            client = await node.client()
            assert status(await client.ask(request(body=b"." * 1024))) == 200
            assert status(await client.ask(request(body=b"." * 1025))) == 413
            assert len(server.seen) == 1

    run(test())


def test_a_second_copy_answers_for_a_silent_box() -> None:
    async def test() -> None:
        async with Server("s-1", silent) as one, Server("s-2") as other:
            text = routes('match = { class = "page" }\ncopy = { after = "60ms", budget = { burst = 50.0 } }')
            async with Rig(configuration(one, other), text) as node:
                client = await node.client()
                for _ in range(6):
                    assert status(await client.ask(request())) == 200
                assert len(other.seen) == 6  # as first attempt or as copy
                assert one.seen
                seen = [message.headers["x-request-id"] for message in one.seen]
                assert len(set(seen)) == len(seen)  # no request twice on one box

    run(test())


def test_a_client_that_leaves_cancels_both_copies() -> None:
    async def test() -> None:
        async with Server("s-1", silent) as one, Server("s-2", silent) as other:
            text = routes('match = { class = "page" }\ncopy = { after = "30ms" }')
            async with Rig(configuration(one, other), text) as node:
                client = await node.client()
                client.writer.write(request())
                await until(lambda: len(node.spy.events) and len(one.seen) + len(other.seen) >= 1)
                await until(lambda: len(one.seen) + len(other.seen) == 2)
                client.writer.transport.abort()
                await until(lambda: not node.node._open_requests)
                assert node.node._balancer is not None
                await until(lambda: one.open + other.open == 0)  # both attempts are cancelled

    run(test())


def test_a_retry_on_another_box_waits_for_the_back_off() -> None:
    async def test() -> None:
        bad = sends(answer(500))
        async with Server("s-1", bad) as one, Server("s-2", bad) as other:
            text = routes('retry = { attempts = 2, backoff = "200ms", jitter = 0.0 }')
            async with Rig(configuration(one, other), text) as node:
                client = await node.client()
                loop = asyncio.get_running_loop()
                began = loop.time()
                assert status(await client.ask(request())) in (502, 503)
                assert loop.time() - began >= 0.2  # no upper bound: it depends on the load of the machine
                assert len(one.seen) == len(other.seen) == 1

    run(test())


def test_only_paths_named_by_routes_are_served() -> None:
    async def test() -> None:
        text = routes('match = { path = "/tracks/{id}" }')
        async with Server("s-1") as server, Rig(configuration(server), text) as node:
            client = await node.client()
            assert status(await client.ask(request(target="/tracks/7"))) == 200
            assert server.seen[0].first.startswith("GET /tracks/7 ")
            assert status(await client.ask(request(target="/other"))) == 404

    run(test())


def test_without_a_service_file_the_module_is_not_wrapped() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as node:
            assert node.node.limits is None
            assert type(node.spy._balancer).__name__ == "Balancer"
            assert status(await (await node.client()).ask(request())) == 200

    run(test())
    code = (
        "import sys, driftstair.__main__, driftstair.daemon;"
        "loaded = ('driftstair.limits', 'driftstair.service', 'pydantic');"
        "print([name for name in sys.modules if name.startswith(loaded)])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]"


# The service file at start, on reload and on the command line.


def test_an_invalid_file_at_start_exits_with_2_and_a_line_for_each_problem(tmp_path: Path) -> None:
    config, service = tmp_path / "config.json", tmp_path / "service.toml"
    config.write_text(json.dumps(configuration()))
    service.write_text(
        routes('timeout = { total = "20s" }', 'admit = { in_flight = 99999 }\nmatch = { key = "x" }')
    )
    done = subprocess.run(
        [sys.executable, "-m", "driftstair", "--service", str(service)], cwd=ROOT, capture_output=True,
        text=True, timeout=TIMEOUT_S, env={**os.environ, "BALANCER_CONFIG": str(config)},
    )  # fmt: skip
    assert done.returncode == 2
    lines = done.stderr.splitlines()
    assert all(line.startswith(f"driftstair: {service}:") for line in lines) and len(lines) >= 2
    assert any("outlasts the wait" in line for line in lines)
    assert any("can never be reached" in line for line in lines)


def test_sighup_loads_a_valid_file_and_rejects_an_invalid_one(tmp_path: Path) -> None:
    service = tmp_path / "service.toml"
    service.write_text(routes(""))

    async def test() -> None:
        async with Server("s-1") as server:
            env = {**os.environ, "DRIFTSTAIR_SERVICE": str(service)}
            async with program(configuration(server), tmp_path, env=env) as node:
                client = await node.client()
                assert status(await client.ask(request())) == 200
                stderr = node.process.stderr
                assert stderr is not None

                async def reload(text: str, word: bytes) -> None:
                    service.write_text(text)
                    node.process.send_signal(signal.SIGHUP)
                    while word not in await asyncio.wait_for(stderr.readline(), TIMEOUT_S):
                        pass

                await reload(routes("admit = { rate = { per_s = 0.001, burst = 1.0 } }"), b"limits of")
                assert status(await client.ask(request())) == 200
                assert status(await client.ask(request())) == 503
                await reload("version = 9\n", b"the new service file is not used")
                assert status(await client.ask(request())) == 503  # the previous file still applies
                await reload(routes(""), b"limits of")
                assert status(await client.ask(request())) == 200
                assert node.process.returncode is None

    run(test())


def config(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "driftstair", "config", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_config_check_reports_all_problems_and_sets_the_exit_status(tmp_path: Path) -> None:
    platform, service = tmp_path / "config.json", tmp_path / "service.toml"
    platform.write_text(json.dumps(configuration()))
    service.write_text(routes('timeout = { total = "20s" }'))
    assert config("check", str(service)).returncode == 0
    done = config("check", str(service), "--config", str(platform))
    assert done.returncode == 1 and "outlasts the wait" in done.stdout
    found = json.loads(config("check", str(service), "--config", str(platform), "--json").stdout)
    assert found["status"] == 1
    assert {one["key"] for one in found["problems"] if not one["warning"]} == {"route[0].timeout.total"}
    service.write_text("version = ")
    assert config("check", str(service)).returncode == 2
    assert config("check", str(tmp_path / "none.toml")).returncode == 2
    assert config("check", str(service), "--config", str(tmp_path / "none.json")).returncode == 2


def test_config_show_reports_the_source_of_each_value(tmp_path: Path) -> None:
    platform, service = tmp_path / "config.json", tmp_path / "service.toml"
    platform.write_text(json.dumps(configuration()))
    service.write_text(routes('timeout = { total = "1500ms" }'))
    done = config("show", str(service), "--config", str(platform), "--json")
    values = {one["key"]: (one["value"], one["from"]) for one in json.loads(done.stdout)["values"]}
    assert values["route[0].timeout.total"] == ("1.5s", str(service))
    assert values["route[0].admit.priority"] == ("normal", "default")
    assert values["platform.class.page.wait"] == ("10s", "platform")
    assert "route[0].timeout.total" in config("show", str(service)).stdout


def test_config_schema_is_a_json_schema_with_all_tables() -> None:
    found: dict[str, Any] = json.loads(config("schema").stdout)
    assert found["additionalProperties"] is False
    assert {"version", "route", "fleet"} <= set(found["properties"])


def test_the_deployed_service_file_is_valid() -> None:
    assert config("check", "deploy/service.toml").returncode == 0


def test_the_platform_run_line_names_no_service_file() -> None:
    assert "service" not in (ROOT / "deploy" / "balancer.toml").read_text()


@pytest.mark.parametrize("name", ["limits", "service"])
def test_net_imports_limits_and_service_only_lazily_or_for_types(name: str) -> None:
    """Apart from late imports, `net` imports routes for type checking only."""
    assert Frontend.__module__ == "driftstair.net.frontend"
    for path in (ROOT / "driftstair" / "net").glob("*.py"):
        lines = [line for line in path.read_text().splitlines() if f"driftstair.{name}" in line]
        assert all(line.startswith(" ") for line in lines), path
