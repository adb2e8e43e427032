"""The stable part of the single-process slopes: counts and bytes, which are the same in every run."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from rig import run

from benchmarks.scale import documents, servers
from benchmarks.scale.load import Path as RequestPath
from benchmarks.scale.load import drive, percentile, settled
from benchmarks.scale.node import Told, stage
from benchmarks.scale.series import SERIES
from benchmarks.scale.slopes import run_point
from driftstair.limits.routes import Pattern, RouteQuery, Routes
from driftstair.net.json_stream import JsonStreamParser
from driftstair.service.load import parse
from lichenspring.balance import TABLE_SIZE

SMALL = 40  # of anything: what a point of each series is run with


class CountingDict(dict[Any, Any]):
    """Counts its look-ups."""

    looked_up = 0

    def get(self, *arguments: Any) -> Any:
        CountingDict.looked_up += 1
        return super().get(*arguments)


def look_ups(routes: int) -> int:
    """Dictionary look-ups that one request of the first service takes."""
    matches = [one.match for one in parse(documents.service_file(routes), "f").service.route]
    index = Routes(Pattern.of(match) for match in matches)
    index._exact, index._prefixes = CountingDict(index._exact), CountingDict(index._prefixes)
    CountingDict.looked_up = 0
    found = index.find(RouteQuery("page", "", "GET", "/svc-0000/r07/item", {}, "k"))
    assert found == 7
    return CountingDict.looked_up


def test_a_request_is_looked_up_alike_whatever_routes_other_services_have() -> None:
    # Guards against a look-up that goes through the routes of others: with 21,000 it would take milliseconds.
    own = look_ups(documents.ROUTES_EACH)
    assert look_ups(50 * documents.ROUTES_EACH) == own
    assert own <= 4


def test_a_change_of_one_server_has_the_same_bytes_beside_any_number_of_others() -> None:
    # Guards against a discovery that tells the whole list again: 33,000 servers are 4 MB.
    sizes = {len(documents.line(documents.server_change(number, 7))) for number in (0, 40, 32_999)}
    assert max(sizes) - min(sizes) <= 8  # digits of the address and the cell
    assert max(sizes) < 200


def test_what_is_made_for_the_measurements_is_what_the_program_reads() -> None:
    # Guards against figures of documents that the program would refuse.
    (whole,) = JsonStreamParser().add(documents.line(documents.server_list(SMALL)))
    assert len(whole["servers"]) == SMALL
    assert len({entry["id"] for entry in documents.server_list(documents.SERVERS)["servers"]}) == 33_000
    assert len(parse(documents.service_file(SMALL, tenants=9), "f").service.route) == SMALL


@pytest.mark.parametrize("name", sorted(SERIES))
def test_each_series_gives_figures_of_a_point_in_a_process_of_its_own(name: str, tmp_path: Path) -> None:
    series = SERIES[name]
    assert list(series.sizes) == sorted(series.sizes)
    assert len(series.sizes) >= 5  # what a slope with an interval is asked to rest on
    series.prepare(SMALL, tmp_path)
    figures = run_point(name, SMALL, tmp_path)
    assert figures
    assert all(value >= 0 for value in figures.values())


def reached(count: int, folder: Path) -> float:
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform()))
    return servers.measure_reach(count, folder)["servers_reached"]


@pytest.mark.parametrize("count", [33, 400, TABLE_SIZE])
def test_keys_lead_to_every_server_of_a_list_that_the_key_table_holds(count: int, tmp_path: Path) -> None:
    # Guards against servers that are paid for and idle. Longer lists than the table are on the capacity page.
    assert reached(count, tmp_path) == count


def test_requests_go_by_turns_through_a_real_node_and_straight_to_its_servers(tmp_path: Path) -> None:
    # Guards against an added time that is no such difference: both paths see the same rate and servers.
    async def test() -> None:
        async with stage(tmp_path, Told()) as on:
            through, direct = RequestPath([on.daemon.address]), RequestPath(list(split(on.servers)))
            await drive([through, direct], rate=50, seconds=1.0)
            await settled([through, direct], most=10.0)
            assert through.sent == direct.sent == 50
            assert [one.served for one in through.answers + direct.answers] == [True] * 100
            on.say("change")
            on.write_service(total_ms=800)
            on.daemon.hang_up()
            await on.daemon.until(lambda: on.daemon.count("limits of"))
            assert on.daemon.count("not used") == 0

    run(test())


def test_a_daemon_that_refuses_what_it_is_told_is_no_measurement(tmp_path: Path) -> None:
    # Guards against a scenario that waits for a node which has ended: the file holds more routes than it may.
    async def test() -> None:
        with pytest.raises(EOFError, match="longer than"):
            async with stage(tmp_path, Told(routes=5_000)):
                pass

    asyncio.run(test())


def split(addresses: list[str]) -> Iterator[tuple[str, int]]:
    for address in addresses:
        host, _, port = address.rpartition(":")
        yield host, int(port)


def test_percentiles_are_values_that_were_measured() -> None:
    assert percentile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert percentile([float(one) for one in range(1000)], 0.999) == 999.0
