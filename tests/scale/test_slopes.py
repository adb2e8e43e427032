"""Tests of the repeatable part of the single-process slopes: counts and bytes, which are equal in every
run."""

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
from benchmarks.scale.load import percentile, send_at_rate, wait_for_answers
from benchmarks.scale.node import InputSizes, run_testbed
from benchmarks.scale.series import SERIES
from benchmarks.scale.slopes import run_point
from driftstair.limits.routes import Pattern, RouteQuery, Routes
from driftstair.net.json_stream import JsonStreamParser
from driftstair.service.load import parse
from lichenspring.balance import TABLE_SIZE

SMALL_SIZE = 40  # size at which a point of each series is run


class CountingDict(dict[Any, Any]):
    """A dictionary that counts look-ups in all instances."""

    look_up_count = 0

    def get(self, *arguments: Any) -> Any:
        CountingDict.look_up_count += 1
        return super().get(*arguments)


def count_look_ups(routes: int) -> int:
    """Returns the number of dictionary look-ups for one request to the first service."""
    matches = [route.match for route in parse(documents.service_file_text(routes), "f").service.route]
    index = Routes(Pattern.of(match) for match in matches)
    index._exact, index._prefixes = CountingDict(index._exact), CountingDict(index._prefixes)
    CountingDict.look_up_count = 0
    route_number = index.find(RouteQuery("page", "", "GET", "/svc-0000/r07/item", {}, "k"))
    assert route_number == 7
    return CountingDict.look_up_count


def test_the_cost_of_a_route_look_up_does_not_depend_on_the_routes_of_other_services() -> None:
    # Guards against a look-up that scans the routes of other services, which takes milliseconds for 21,000.
    expected = count_look_ups(documents.ROUTES_PER_SERVICE)
    assert count_look_ups(50 * documents.ROUTES_PER_SERVICE) == expected
    assert expected <= 4


def test_the_size_of_a_change_of_one_server_does_not_depend_on_the_number_of_servers() -> None:
    # Guards against a discovery that sends the full list for each change: 33,000 servers take 4 MB.
    sizes = {len(documents.encode_line(documents.server_change(number, 7))) for number in (0, 40, 32_999)}
    assert max(sizes) - min(sizes) <= 8  # the digits of the address and the cell differ
    assert max(sizes) < 200


def test_the_program_accepts_the_generated_documents() -> None:
    # Guards against measurements on documents that the program would refuse.
    (full_list,) = JsonStreamParser().add(documents.encode_line(documents.server_list(SMALL_SIZE)))
    assert len(full_list["servers"]) == SMALL_SIZE
    assert len({entry["id"] for entry in documents.server_list(documents.SERVERS)["servers"]}) == 33_000
    assert len(parse(documents.service_file_text(SMALL_SIZE, tenants=9), "f").service.route) == SMALL_SIZE


@pytest.mark.parametrize("name", sorted(SERIES))
def test_each_series_measures_a_point_in_a_process_of_its_own(name: str, tmp_path: Path) -> None:
    series = SERIES[name]
    assert list(series.sizes) == sorted(series.sizes)
    assert len(series.sizes) >= 5  # the least number of sizes for a slope with an interval
    series.prepare(SMALL_SIZE, tmp_path)
    figures = run_point(name, SMALL_SIZE, tmp_path)
    assert figures
    assert all(value >= 0 for value in figures.values())


def count_reached_servers(count: int, folder: Path) -> float:
    """Returns the number of servers that keys reach, of a list of `count` servers."""
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform_document()))
    return servers.measure_reach(count, folder)["servers_reached"]


@pytest.mark.parametrize("count", [33, 400, TABLE_SIZE])
def test_keys_reach_every_server_of_a_list_that_fits_into_the_key_table(count: int, tmp_path: Path) -> None:
    # Guards against servers that stay idle. The capacity page covers lists that are longer than the table.
    assert count_reached_servers(count, tmp_path) == count


def test_requests_alternate_between_a_real_node_and_its_servers(tmp_path: Path) -> None:
    # Guards against a wrong added time: both paths have to get the same rate and the same servers.
    async def test() -> None:
        async with run_testbed(tmp_path, InputSizes()) as testbed:
            through, direct = (
                RequestPath([testbed.daemon.address]),
                RequestPath(list(parse_addresses(testbed.servers))),
            )
            await send_at_rate([through, direct], rate=50, seconds=1.0)
            await wait_for_answers([through, direct], timeout_s=10.0)
            assert through.sent == direct.sent == 50
            assert [answer.served for answer in through.answers + direct.answers] == [True] * 100
            testbed.send_command("change")
            testbed.write_service_file(total_ms=800)
            testbed.daemon.send_sighup()
            await testbed.daemon.wait_until(lambda: testbed.daemon.count_log_lines("limits of"))
            assert testbed.daemon.count_log_lines("not used") == 0

    run(test())


def test_a_testbed_fails_if_the_daemon_refuses_its_files(tmp_path: Path) -> None:
    # Guards against a scenario that waits for an ended node: the service file exceeds its size limit.
    async def test() -> None:
        with pytest.raises(EOFError, match="longer than"):
            async with run_testbed(tmp_path, InputSizes(routes=5_000)):
                pass

    asyncio.run(test())


def parse_addresses(addresses: list[str]) -> Iterator[tuple[str, int]]:
    """Yields host and port of each address."""
    for address in addresses:
        host, _, port = address.rpartition(":")
        yield host, int(port)


def test_percentiles_are_measured_values() -> None:
    assert percentile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert percentile([float(number) for number in range(1000)], 0.999) == 999.0
