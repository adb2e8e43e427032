"""The event log: the events of requests, server lists and the process at each level."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from rig import Discovery, Rig, Server, answer, configuration, request, run, sends, status, until
from test_process import ROOT, program

from driftstair.net.loop_monitor import TICK_INTERVAL_S, LoopMonitor
from driftstair.observability.reasons import AnswerReason


def read_events(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def events_named(found: list[dict[str, Any]], event: str) -> list[dict[str, Any]]:
    return [line for line in found if line["event"] == event]


@pytest.mark.parametrize("level", ["requests", "state"])
def test_the_events_of_a_request_from_reading_to_response(level: str, tmp_path: Path) -> None:
    path = tmp_path / "events.jsonl"
    service = tmp_path / "service.toml"
    service.write_text(f'version = 1\n[events]\nlevel = "{level}"\nfile = "{path}"\n')

    async def test() -> None:
        async with (
            Discovery() as discovery,
            Server("s-1", sends(answer(500))) as one,
            Server("s-2", sends(answer(500))) as two,
        ):
            document = configuration(one, two, discovery=discovery.address)
            document["settings"]["Contract"]["AskWithin"] = 10**8
            environment = {"DRIFTSTAIR_SERVICE": str(service)}
            async with program(document, tmp_path, env=environment) as node:
                await until(lambda: discovery.targets)
                discovery.push(8, one, two, full=True)
                await until(lambda: "list_received" in path.read_text())
                client = await node.client()
                assert status(await client.ask(request(X_Deadline="9000m"))) == 503
                node.process.terminate()
                await node.process.wait()

    run(test())
    found = read_events(path)
    states = [line["state"].split(" ")[0] for line in events_named(found, "process_state_changed")]
    assert states == ["serving", "stopping", "ended"]
    assert events_named(found, "discovery_called")[0]["version"] == 7
    (told,) = events_named(found, "list_received")
    assert (told["version"], told["full"], told["servers"]) == (8, True, 2)
    counts = events_named(found, "metrics_reported")[-1]["counts"]
    assert counts["answers.refused"] == 1 and counts["retries.error"] == 1
    taken = events_named(found, "request_taken")
    if level == "state":
        assert not taken
        return
    (number,) = [line["request"] for line in taken]
    assert len(taken[0]["request_id"]) == 16 and 0 < taken[0]["left_ms"] <= 9000
    steps = [line["event"] for line in found if line.get("request") == number]
    attempts = ["attempt_started", "attempt_ended"] * 2
    assert steps == ["request_taken", *attempts, "request_answered"]
    assert events_named(found, "request_answered")[0]["reason"] == AnswerReason.REFUSED.value
    assert all(0 < line["told_ms"] <= 9000 for line in events_named(found, "attempt_started"))


def test_the_event_log_is_not_loaded_without_its_table() -> None:
    code = (
        "import driftstair.daemon, sys;"
        "print(sorted(one for one in sys.modules if 'event_log' in one or one == 'json.tool'))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True)
    assert done.stdout.strip() == b"[]"


def test_a_file_that_cannot_be_written_is_refused_with_one_line(tmp_path: Path) -> None:
    service = tmp_path / "service.toml"
    service.write_text('version = 1\n[events]\nfile = "/nowhere/at/all"\n')
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration()))
    environment = {"BALANCER_CONFIG": str(path), "DRIFTSTAIR_SERVICE": str(service)}
    done = subprocess.run(
        [sys.executable, "-m", "driftstair"], cwd=ROOT, env=environment, capture_output=True, check=False
    )
    assert done.returncode == 2
    (line,) = done.stderr.decode().splitlines()
    assert "service.toml" in line and "file" in line and "/nowhere/at/all" in line and "would do" in line


def test_a_stalled_loop_is_reported_and_bounds_the_arrival_time() -> None:
    async def test() -> None:
        clock = [0]
        stalls: list[int] = []
        monitor = LoopMonitor(lambda: clock[0], stalls.append)
        monitor.start()
        clock[0] = int(TICK_INTERVAL_S * 1e9) + 10_000_000
        assert monitor.earliest_event_time() == clock[0]  # normal jitter
        clock[0] = 700_000_000
        assert monitor.earliest_event_time() == 0
        await until(lambda: stalls)
        assert stalls == [700_000_000 - int(TICK_INTERVAL_S * 1e9)]
        assert monitor.earliest_event_time() == 700_000_000
        await asyncio.sleep(0)

    run(test())


def test_counters_are_kept_without_the_event_log() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            assert status(await client.ask(request())) == 200
            assert status(await client.ask(request(X_Deadline="0m"))) == 504
            counters = rig.node.counters()
            assert counters["answers.served"] == counters["answers.no_time_left"] == 1

    run(test())
