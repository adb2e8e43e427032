"""What a configuration costs in one process: memory, one change, one look-up, and the longest step of each.

    python benchmarks/configuration.py [--quick] [--json]

Each row of memory is a process of its own. Times of look-ups and changes are least of rounds, as ratios to
the smallest size in the same run. Not part of CI.
"""

from __future__ import annotations

import argparse
import gc
import json
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

ROUTE_COUNTS, TENANT_COUNTS = (1_000, 5_000, 21_000), (10_000, 50_000, 220_000)
OTHER_ROUTE_COUNTS = (100, 1_000, 5_000, 21_000)
SERVICE_COUNT = 1_000
TENANT_PLANS = 40  # sets of limits that tenants share; one tenant in 50 has limits of its own
MIB = 1 << 20
LONG_STEP_S = 0.002  # no step of the configuration may take longer
CLASSES = ("page", "order", "cart", "search")


def resident_bytes() -> int:
    """Returns the resident memory of this process after a garbage collection."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def route_content(number: int) -> dict[str, Any]:
    """Returns a route of about 290 bytes as canonical JSON. A quarter of the routes match a template, a
    quarter an exact path and the rest a prefix."""
    service, variant = number % SERVICE_COUNT, number // SERVICE_COUNT
    path = f"/service-{service:04d}/api/v{variant}/items"
    content: dict[str, Any] = {
        "match": {"path": (f"{path}/*", f"{path}/{{id}}", path, f"{path}/all*")[variant % 4]},
        "timeout": {"total": "900ms", "attempt": f"{150 + number % 100}ms"},
        "retry": {
            "attempts": 2,
            "backoff": "10ms",
            "on": ["full", "connect"],
            "budget": {"share": 0.1, "burst": 5.0},
        },
        "admit": {"in_flight": 20 + number % 30, "rate": {"per_s": 5.0 + number % 7, "burst": 20.0}},
    }
    content["match"]["class"] = [CLASSES[number % 3]]
    return content


def tenant_content(number: int) -> dict[str, Any]:
    """Returns the limits of a tenant."""
    plan = number if number % 50 == 0 else number % TENANT_PLANS
    return {"per_s": 10.0 + plan, "burst": 20.0, "in_flight": 8}


def route_name(number: int) -> str:
    """Returns a name that sorts the routes by service."""
    return f"service-{number % SERVICE_COUNT:04d}-{number // SERVICE_COUNT:02d}"


def resources(routes: int, tenants: int) -> Iterator[Any]:
    """Yields routes and tenants in the order of a snapshot."""
    import msgspec

    from driftstair.configuration.resources import Resource, ResourceKind, canonical_json

    for number in sorted(range(routes), key=route_name):
        yield Resource(
            ResourceKind.ROUTE,
            route_name(number),
            1 + number,
            msgspec.Raw(canonical_json(route_content(number))),
        )
    for number in range(tenants):
        yield Resource(
            ResourceKind.TENANT,
            f"tenant-{number:06d}",
            1 + number,
            msgspec.Raw(canonical_json(tenant_content(number))),
        )


def change_set(*resources: Any) -> Any:
    """Returns a change set that puts or deletes each of the resources."""
    from driftstair.configuration.change_sets import Change, ChangeSet

    return ChangeSet(
        "a", tuple(Change(resource.kind, resource.name, resource.content) for resource in resources)
    )


class LoadedConfiguration:
    """The state and the indexes of a node, loaded resource by resource as from a snapshot."""

    def __init__(self) -> None:
        from driftstair.configuration.state import ConfigurationState
        from driftstair.configuration.validation import IncrementalValidator

        self.state = ConfigurationState()
        self.validator = IncrementalValidator(None, contents=self.state)
        self.steps = StepTimer()

    def load(self, to_load: Iterable[Any], validate: bool = True) -> None:
        """Loads resources into the state and, with `validate`, checks and indexes them."""
        for resource in to_load:
            if validate:
                assessment = self.steps.run(self.validator.assess_in_steps(change_set(resource)))
                assert not assessment.violations, assessment.violations
                self.steps.run(self.validator.apply_assessment_in_steps(assessment))
            start_s = self.steps.begin()
            self.state.load((resource,))
            self.steps.end(start_s)

    def apply_change_set(self, changes: Any) -> float:
        """Validates and applies a change set, and returns the CPU time in s that this took."""
        from driftstair.configuration.change_sets import LoggedChangeSet

        start_s = time.process_time()
        assessment = self.steps.run(self.validator.assess_in_steps(changes))
        assert not assessment.violations, assessment.violations[:2]
        self.steps.run(self.validator.apply_assessment_in_steps(assessment))
        self.steps.run(self.state.apply_in_steps(LoggedChangeSet(self.state.revision + 1, changes)))
        return time.process_time() - start_s


class StepTimer:
    """CPU times of single steps, with and without the time of the garbage collector in them."""

    def __init__(self) -> None:
        self.clear()
        self._collector_s = self._collecting_since = 0.0
        gc.callbacks.append(self._on_collector)

    def clear(self) -> None:
        """Forgets all steps that were timed so far."""
        self.count = self.over_2_ms = self.over_2_ms_without_collector = 0
        self.longest_s = self.longest_without_collector_s = 0.0

    def run(self, steps: Any) -> Any:
        """Runs a generator to its end, times each of its steps and returns its result."""
        while True:
            start_s = self.begin()
            try:
                next(steps)
            except StopIteration as end:
                self.end(start_s)
                return end.value
            self.end(start_s)

    def begin(self) -> float:
        """Begins a step and returns its start time."""
        self._collector_s = 0.0
        return time.thread_time()

    def end(self, start_s: float) -> None:
        """Ends a step and counts its duration."""
        duration_s = time.thread_time() - start_s
        own_s = duration_s - self._collector_s
        self.count += 1
        self.longest_s = max(self.longest_s, duration_s)
        self.longest_without_collector_s = max(self.longest_without_collector_s, own_s)
        self.over_2_ms += duration_s > LONG_STEP_S
        self.over_2_ms_without_collector += own_s > LONG_STEP_S

    def _on_collector(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._collecting_since = time.thread_time()
        else:
            self._collector_s += time.thread_time() - self._collecting_since

    def row(self) -> dict[str, Any]:
        """Returns the figures as part of a result row."""
        return {
            "steps": self.count, "longest_ms": round(self.longest_s * 1e3, 2), "over_2_ms": self.over_2_ms,
            "longest_without_collector_ms": round(self.longest_without_collector_s * 1e3, 2),
            "over_2_ms_without_collector": self.over_2_ms_without_collector,
        }  # fmt: skip


# Rows. Each runs in a process of its own, and the name of its function is the value of `--row`.


def memory(routes: int, tenants: int) -> dict[str, Any]:
    """Measures the growth of the process's resident memory. Small sizes partly fit into memory that the
    process already has."""
    bytes_before = resident_bytes()
    configuration = LoadedConfiguration()
    start_s = time.process_time()
    configuration.load(resources(routes, tenants))
    cpu_s = time.process_time() - start_s
    growth_bytes = resident_bytes() - bytes_before
    return {
        **by_resource("resident", growth_bytes, routes, tenants), "load_cpu_s": round(cpu_s, 2),
        **configuration.steps.row(),
    }  # fmt: skip


def allocated(routes: int, tenants: int) -> dict[str, Any]:
    """Measures the memory that was requested from the allocator."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    configuration = LoadedConfiguration()
    configuration.load(resources(routes, tenants))
    gc.collect()
    return by_resource("allocated", tracemalloc.get_traced_memory()[0] - bytes_before, routes, tenants)


def by_resource(metric: str, growth_bytes: int, routes: int, tenants: int) -> dict[str, Any]:
    """Returns a row with the memory in total and, where there is one kind of resource alone, per resource."""
    row: dict[str, Any] = {
        "routes": routes,
        "tenants": tenants,
        f"{metric}_mib": round(growth_bytes / MIB, 2),
    }
    if not tenants:
        content_bytes = sum(len(bytes(resource.content)) for resource in resources(routes, 0))
        row["bytes_a_route"] = round(growth_bytes / routes)
        row["content_bytes_a_route"] = round(content_bytes / routes)
    if not routes:
        name_bytes = sum(len(resource.name) for resource in resources(0, tenants))
        row["bytes_a_tenant_beyond_its_name"] = round((growth_bytes - name_bytes) / tenants, 1)
    return row


def change(routes: int, rounds: int) -> dict[str, Any]:
    """Measures change sets of one route: one that replaces a route, one that adds a route, one that
    deletes it."""
    import msgspec

    from driftstair.configuration.resources import Resource, ResourceKind, canonical_json

    configuration = LoadedConfiguration()
    configuration.load(resources(routes, 0))
    configuration.steps.clear()
    least_s: dict[str, float] = {}
    for round_number in range(rounds):
        content = route_content(7)
        content["timeout"]["attempt"] = f"{20 + round_number}ms"
        new_content = {**content, "match": {"path": f"/service-0007/new/{round_number}/*"}}
        cases = {
            "replace": (route_name(7), canonical_json(content)), "add": ("new", canonical_json(new_content)),
            "delete": ("new", b"null"),
        }  # fmt: skip
        for operation, (name, content_json) in cases.items():
            cpu_s = configuration.apply_change_set(
                change_set(Resource(ResourceKind.ROUTE, name, 0, msgspec.Raw(content_json)))
            )
            least_s[operation] = min(least_s.get(operation, cpu_s), cpu_s)
    costs = {f"{operation}_us": round(cpu_s * 1e6) for operation, cpu_s in least_s.items()}
    return {"routes": routes, **costs, **configuration.steps.row()}


def look_up(routes: int, rounds: int) -> dict[str, Any]:
    """Measures look-ups of one service's routes beside so many routes of other services, with and without a
    memoized result."""
    from driftstair.limits.routes import RouteQuery

    configuration = LoadedConfiguration()
    own_routes = [resource for resource in resources(21_000, 0) if resource.name.startswith("service-0007-")]
    other_routes = [
        resource for resource in resources(21_000, 0) if not resource.name.startswith("service-0007-")
    ]
    configuration.load(
        [*own_routes, *other_routes[:: max(1, len(other_routes) // routes)][:routes]], validate=False
    )
    for resource in configuration.state.resources():
        assessment = configuration.steps.run(
            configuration.validator.assess_in_steps(change_set(resource), check_rules=False)
        )
        configuration.steps.run(configuration.validator.apply_assessment_in_steps(assessment))
    index = configuration.validator.routes

    def make_query(variant: int, number: int) -> RouteQuery:
        path = f"/service-0007/api/v{variant}/items"
        suffix = ("/x", f"/{number}", "", f"/all-{number}")[variant % 4]
        return RouteQuery(CLASSES[(7 + 1_000 * variant) % 3], "acme", "GET", path + suffix, {}, "")

    queries = [make_query(variant, number) for number in range(20) for variant in range(21)]
    assert all(index.find(query) is not None for query in queries)
    repeat_s = first_s = 9.0
    for _ in range(rounds):
        start_s = time.process_time()
        for query in queries:
            index.find(query)
        repeat_s = min(repeat_s, (time.process_time() - start_s) / len(queries))
        start_s = time.process_time()
        for query in queries:
            index._memo.clear()
            index.find(query)
        first_s = min(first_s, (time.process_time() - start_s) / len(queries))
    return {"others": routes, "again_us": round(repeat_s * 1e6, 2), "first_us": round(first_s * 1e6, 2)}


def tenant_look_up(tenants: int, rounds: int) -> dict[str, Any]:
    """Measures look-ups of tenants' contents in the state."""
    from driftstair.configuration.resources import ResourceKey, ResourceKind

    configuration = LoadedConfiguration()
    configuration.load(resources(0, tenants), validate=False)
    keys = [
        ResourceKey(ResourceKind.TENANT, f"tenant-{number * 7919 % tenants:06d}") for number in range(2_000)
    ]
    least_s = 9.0
    for _ in range(rounds):
        start_s = time.process_time()
        for key in keys:
            assert configuration.state.content(key) is not None
        least_s = min(least_s, (time.process_time() - start_s) / len(keys))
    return {"tenants": tenants, "content_us": round(least_s * 1e6, 2)}


def steps(routes: int, tenants: int) -> list[dict[str, Any]]:
    """Measures the longest steps, in CPU time, of the changes that a node applies at full size."""
    import msgspec

    from driftstair.configuration.resources import Resource, ResourceKind, canonical_json

    configuration = LoadedConfiguration()
    configuration.load(resources(routes, tenants), validate=False)
    for resource in resources(routes, 0):
        assessment = configuration.steps.run(
            configuration.validator.assess_in_steps(change_set(resource), check_rules=False)
        )
        configuration.steps.run(configuration.validator.apply_assessment_in_steps(assessment))
    rows = [{"what": "load of one resource, all sizes on the way", **configuration.steps.row()}]

    def route(name: str, content: dict[str, Any]) -> Any:
        return Resource(ResourceKind.ROUTE, name, 0, msgspec.Raw(canonical_json(content)))

    def tenant(name: str) -> Any:
        return Resource(ResourceKind.TENANT, name, 0, msgspec.Raw(b'{"per_s":1.5}'))

    def template(number: int, path: str) -> Any:
        return route(f"t{number}", {"match": {"path": path}})

    overlapping_templates = [template(number, f"/t-{number}/items/{{id}}") for number in range(1_000)]
    routes_by_header = [
        route(f"h{number}", {"match": {"path": "/headers", "header": {"x": str(number), "y": "1"}}})
        for number in range(1_000)
    ]
    routes_by_tenant = [
        route(f"c{number}", {"match": {"path": "/classes", "tenant": [f"tenant-{number}"]}})
        for number in range(1_000)
    ]
    cases = {
        "one route replaced": [route(route_name(7), route_content(7))],
        "1,000 routes replaced": [
            route(route_name(number), route_content(number)) for number in range(1_000)
        ],
        "1,000 tenants replaced": [tenant(f"tenant-{number * 211:06d}") for number in range(1_000)],
        "1,000 tenants added": [tenant(f"tenant-{number * 211:06d}-new") for number in range(1_000)],
        "1,000 templates added that one may meet": overlapping_templates,
        "one template added that may meet 1,000 others": [template(0, "/{service}/lists/7")],
        "1,000 routes of one path added, by header": routes_by_header,
        "one added beside 1,000 of one path, by other headers": [
            route("other", {"match": {"path": "/headers", "header": {"x": "none", "z": "1"}}})
        ],
        "1,000 routes of one path added, by tenant": routes_by_tenant,
        "one added that comes before 1,000 of its path": [
            route("before", {"match": {"path": "/classes", "class": ["page", "order"]}})
        ],
    }
    for description, changed_resources in cases.items():
        configuration.steps.clear()
        cpu_s = configuration.apply_change_set(change_set(*changed_resources))
        rows.append({"what": description, "cpu_ms": round(cpu_s * 1e3, 1), **configuration.steps.row()})
    return rows


def run_in_process(row_name: str, *arguments: int) -> Any:
    """Runs a row function in a process of its own and returns its result."""
    command = [sys.executable, str(HERE / "configuration.py"), "--row", row_name, *map(str, arguments)]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def main() -> None:
    """Runs all rows, or the one that `--row` names, and prints them."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="a tenth of the sizes")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--row", nargs="+", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.row:
        name, *arguments = options.row
        LoadedConfiguration().load(resources(50, 50))  # fills imports and the caches of libraries
        gc.collect()
        gc.freeze()  # as the daemon does, so that the collector handles only later objects
        print(json.dumps(globals()[name](*map(int, arguments))))
        return
    divisor, rounds = (10, 10) if options.quick else (1, 60)
    routes = [count // divisor for count in ROUTE_COUNTS]
    tenants = [count // divisor for count in TENANT_COUNTS]
    others = [count // divisor for count in OTHER_ROUTE_COUNTS]
    sizes = [*((count, 0) for count in routes), *((0, count) for count in tenants), (routes[-1], tenants[-1])]
    results = {
        "memory": [run_in_process("memory", *size) for size in sizes],
        "allocated": [run_in_process("allocated", *size) for size in sizes],
        "change": [run_in_process("change", count, rounds) for count in others],
        "look_up": [run_in_process("look_up", count, rounds) for count in others],
        "tenant_look_up": [run_in_process("tenant_look_up", count, rounds) for count in tenants],
        "steps": run_in_process("steps", routes[-1], tenants[-1]),
    }
    if options.json:
        print(json.dumps(results, indent=1))
        return
    for name, rows in results.items():
        print(name)
        for row in rows:
            print("   ", ", ".join(f"{key} {value}" for key, value in row.items() if value is not None))


if __name__ == "__main__":
    main()
