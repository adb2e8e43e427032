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

ROUTES, TENANTS = (1_000, 5_000, 21_000), (10_000, 50_000, 220_000)
OTHERS = (100, 1_000, 5_000, 21_000)
SERVICES = 1_000
PLANS = 40  # of tenants; one in 50 has figures of its own
MIB = 1 << 20
LONG_S = 0.002  # that no step of control may take
CLASSES = ("page", "order", "cart", "search")


def resident_bytes() -> int:
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def route_content(number: int) -> dict[str, Any]:
    """Some 290 bytes of canonical text; each fourth is a template, each fourth an exact path."""
    service, place = number % SERVICES, number // SERVICES
    path = f"/service-{service:04d}/api/v{place}/items"
    content: dict[str, Any] = {
        "match": {"path": (f"{path}/*", f"{path}/{{id}}", path, f"{path}/all*")[place % 4]},
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
    plan = number if number % 50 == 0 else number % PLANS
    return {"per_s": 10.0 + plan, "burst": 20.0, "in_flight": 8}


def route_name(number: int) -> str:
    return f"service-{number % SERVICES:04d}-{number // SERVICES:02d}"


def resources(routes: int, tenants: int) -> Iterator[Any]:
    """In the order of a snapshot."""
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
    from driftstair.configuration.change_sets import Change, ChangeSet

    return ChangeSet("a", tuple(Change(one.kind, one.name, one.content) for one in resources))


class Held:
    """State and indexes of a node, loaded resource by resource as from a snapshot."""

    def __init__(self) -> None:
        from driftstair.configuration.state import ConfigurationState
        from driftstair.configuration.validation import IncrementalValidator

        self.state = ConfigurationState()
        self.validator = IncrementalValidator(None, contents=self.state)
        self.steps = Steps()

    def load(self, loaded: Iterable[Any], prove: bool = True) -> None:
        for resource in loaded:
            if prove:
                assessment = self.steps.run(self.validator.assess_in_steps(change_set(resource)))
                assert not assessment.violations, assessment.violations
                self.steps.run(self.validator.apply_assessment_in_steps(assessment))
            began = self.steps.begin()
            self.state.load((resource,))
            self.steps.end(began)

    def change(self, changes: Any) -> float:
        """CPU s of a change set, from its proof to its place in all indexes."""
        from driftstair.configuration.change_sets import LoggedChangeSet

        began = time.process_time()
        assessment = self.steps.run(self.validator.assess_in_steps(changes))
        assert not assessment.violations, assessment.violations[:2]
        self.steps.run(self.validator.apply_assessment_in_steps(assessment))
        self.steps.run(self.state.apply_in_steps(LoggedChangeSet(self.state.revision + 1, changes)))
        return time.process_time() - began


class Steps:
    """CPU times of single steps, with and without the garbage collector's part of them."""

    def __init__(self) -> None:
        self.clear()
        self._collector_s = self._collecting_since = 0.0
        gc.callbacks.append(self._on_collector)

    def clear(self) -> None:
        self.count = self.over_2_ms = self.over_2_ms_without_collector = 0
        self.longest_s = self.longest_without_collector_s = 0.0

    def run(self, steps: Any) -> Any:
        """All steps of a generator."""
        while True:
            began = self.begin()
            try:
                next(steps)
            except StopIteration as end:
                self.end(began)
                return end.value
            self.end(began)

    def begin(self) -> float:
        self._collector_s = 0.0
        return time.thread_time()

    def end(self, began: float) -> None:
        duration_s = time.thread_time() - began
        own_s = duration_s - self._collector_s
        self.count += 1
        self.longest_s = max(self.longest_s, duration_s)
        self.longest_without_collector_s = max(self.longest_without_collector_s, own_s)
        self.over_2_ms += duration_s > LONG_S
        self.over_2_ms_without_collector += own_s > LONG_S

    def _on_collector(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._collecting_since = time.thread_time()
        else:
            self._collector_s += time.thread_time() - self._collecting_since

    def row(self) -> dict[str, Any]:
        return {
            "steps": self.count, "longest_ms": round(self.longest_s * 1e3, 2), "over_2_ms": self.over_2_ms,
            "longest_without_collector_ms": round(self.longest_without_collector_s * 1e3, 2),
            "over_2_ms_without_collector": self.over_2_ms_without_collector,
        }  # fmt: skip


# Rows. Each is played in a process of its own.


def memory(routes: int, tenants: int) -> dict[str, Any]:
    """Resident: what the process grew by. Small sizes partly fit into memory that it had."""
    before = resident_bytes()
    held = Held()
    began = time.process_time()
    held.load(resources(routes, tenants))
    used = time.process_time() - began
    kept = resident_bytes() - before
    return {
        **by_resource("resident", kept, routes, tenants), "load_cpu_s": round(used, 2), **held.steps.row(),
    }  # fmt: skip


def allocated(routes: int, tenants: int) -> dict[str, Any]:
    """What the allocator was asked for."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = Held()
    held.load(resources(routes, tenants))
    gc.collect()
    return by_resource("allocated", tracemalloc.get_traced_memory()[0] - before, routes, tenants)


def by_resource(what: str, kept: int, routes: int, tenants: int) -> dict[str, Any]:
    row: dict[str, Any] = {"routes": routes, "tenants": tenants, f"{what}_mib": round(kept / MIB, 2)}
    if not tenants:
        contents = sum(len(bytes(one.content)) for one in resources(routes, 0))
        row["bytes_a_route"] = round(kept / routes)
        row["content_bytes_a_route"] = round(contents / routes)
    if not routes:
        names = sum(len(one.name) for one in resources(0, tenants))
        row["bytes_a_tenant_beyond_its_name"] = round((kept - names) / tenants, 1)
    return row


def change(routes: int, rounds: int) -> dict[str, Any]:
    """One route of a set, put over an old one, new, and deleted."""
    import msgspec

    from driftstair.configuration.resources import Resource, ResourceKind, canonical_json

    held = Held()
    held.load(resources(routes, 0))
    held.steps.clear()
    found: dict[str, float] = {}
    for round_number in range(rounds):
        content = route_content(7)
        content["timeout"]["attempt"] = f"{20 + round_number}ms"
        new = {**content, "match": {"path": f"/service-0007/new/{round_number}/*"}}
        sets = {
            "replace": (route_name(7), canonical_json(content)), "add": ("new", canonical_json(new)),
            "delete": ("new", b"null"),
        }  # fmt: skip
        for what, (name, text) in sets.items():
            used = held.change(change_set(Resource(ResourceKind.ROUTE, name, 0, msgspec.Raw(text))))
            found[what] = min(found.get(what, used), used)
    costs = {f"{what}_us": round(used * 1e6) for what, used in found.items()}
    return {"routes": routes, **costs, **held.steps.row()}


def look_up(routes: int, rounds: int) -> dict[str, Any]:
    """Of one service's routes beside those of others; answers that were given before, and new ones."""
    from driftstair.limits.routes import RouteQuery

    held = Held()
    own = [one for one in resources(21_000, 0) if one.name.startswith("service-0007-")]
    others = [one for one in resources(21_000, 0) if not one.name.startswith("service-0007-")]
    held.load([*own, *others[:: max(1, len(others) // routes)][:routes]], prove=False)
    for resource in held.state.resources():
        assessment = held.steps.run(held.validator.assess_in_steps(change_set(resource), check_rules=False))
        held.steps.run(held.validator.apply_assessment_in_steps(assessment))
    index = held.validator.routes

    def asked(place: int, number: int) -> RouteQuery:
        path = f"/service-0007/api/v{place}/items"
        tail = ("/x", f"/{number}", "", f"/all-{number}")[place % 4]
        return RouteQuery(CLASSES[(7 + 1_000 * place) % 3], "acme", "GET", path + tail, {}, "")

    requests = [asked(place, number) for number in range(20) for place in range(21)]
    assert all(index.find(one) is not None for one in requests)
    again = first = 9.0
    for _ in range(rounds):
        began = time.process_time()
        for one in requests:
            index.find(one)
        again = min(again, (time.process_time() - began) / len(requests))
        began = time.process_time()
        for one in requests:
            index._memo.clear()
            index.find(one)
        first = min(first, (time.process_time() - began) / len(requests))
    return {"others": routes, "again_us": round(again * 1e6, 2), "first_us": round(first * 1e6, 2)}


def tenant_look_up(tenants: int, rounds: int) -> dict[str, Any]:
    from driftstair.configuration.resources import ResourceKey, ResourceKind

    held = Held()
    held.load(resources(0, tenants), prove=False)
    keys = [
        ResourceKey(ResourceKind.TENANT, f"tenant-{number * 7919 % tenants:06d}") for number in range(2_000)
    ]
    least = 9.0
    for _ in range(rounds):
        began = time.process_time()
        for key in keys:
            assert held.state.content(key) is not None
        least = min(least, (time.process_time() - began) / len(keys))
    return {"tenants": tenants, "content_us": round(least * 1e6, 2)}


def steps(routes: int, tenants: int) -> list[dict[str, Any]]:
    """The longest step of what a node does at full size; CPU time."""
    import msgspec

    from driftstair.configuration.resources import Resource, ResourceKind, canonical_json

    held = Held()
    held.load(resources(routes, tenants), prove=False)
    for resource in resources(routes, 0):
        assessment = held.steps.run(held.validator.assess_in_steps(change_set(resource), check_rules=False))
        held.steps.run(held.validator.apply_assessment_in_steps(assessment))
    rows = [{"what": "load of one resource, all sizes on the way", **held.steps.row()}]

    def route(name: str, content: dict[str, Any]) -> Any:
        return Resource(ResourceKind.ROUTE, name, 0, msgspec.Raw(canonical_json(content)))

    def tenant(name: str) -> Any:
        return Resource(ResourceKind.TENANT, name, 0, msgspec.Raw(b'{"per_s":1.5}'))

    def template(number: int, path: str) -> Any:
        return route(f"t{number}", {"match": {"path": path}})

    meeting = [template(number, f"/t-{number}/items/{{id}}") for number in range(1_000)]
    by_header = [
        route(f"h{number}", {"match": {"path": "/headers", "header": {"x": str(number), "y": "1"}}})
        for number in range(1_000)
    ]
    by_class = [
        route(f"c{number}", {"match": {"path": "/classes", "tenant": [f"tenant-{number}"]}})
        for number in range(1_000)
    ]
    sets = {
        "one route replaced": [route(route_name(7), route_content(7))],
        "1,000 routes replaced": [
            route(route_name(number), route_content(number)) for number in range(1_000)
        ],
        "1,000 tenants replaced": [tenant(f"tenant-{number * 211:06d}") for number in range(1_000)],
        "1,000 tenants added": [tenant(f"tenant-{number * 211:06d}-new") for number in range(1_000)],
        "1,000 templates added that one may meet": meeting,
        "one template added that may meet 1,000 others": [template(0, "/{service}/lists/7")],
        "1,000 routes of one path added, by header": by_header,
        "one added beside 1,000 of one path, by other headers": [
            route("other", {"match": {"path": "/headers", "header": {"x": "none", "z": "1"}}})
        ],
        "1,000 routes of one path added, by tenant": by_class,
        "one added that comes before 1,000 of its path": [
            route("before", {"match": {"path": "/classes", "class": ["page", "order"]}})
        ],
    }
    for what, changes in sets.items():
        held.steps.clear()
        used = held.change(change_set(*changes))
        rows.append({"what": what, "cpu_ms": round(used * 1e3, 1), **held.steps.row()})
    return rows


def in_a_process(name: str, *arguments: int) -> Any:
    command = [sys.executable, str(HERE / "configuration.py"), "--row", name, *map(str, arguments)]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="a tenth of the sizes")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--row", nargs="+", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.row:
        name, *arguments = options.row
        Held().load(resources(50, 50))  # imports, and caches of libraries
        gc.collect()
        gc.freeze()  # as the daemon does: what it collects is what came since
        print(json.dumps(globals()[name](*map(int, arguments))))
        return
    scale, rounds = (10, 10) if options.quick else (1, 60)
    routes = [one // scale for one in ROUTES]
    tenants = [one // scale for one in TENANTS]
    others = [one // scale for one in OTHERS]
    sizes = [*((one, 0) for one in routes), *((0, one) for one in tenants), (routes[-1], tenants[-1])]
    found = {
        "memory": [in_a_process("memory", *size) for size in sizes],
        "allocated": [in_a_process("allocated", *size) for size in sizes],
        "change": [in_a_process("change", one, rounds) for one in others],
        "look_up": [in_a_process("look_up", one, rounds) for one in others],
        "tenant_look_up": [in_a_process("tenant_look_up", one, rounds) for one in tenants],
        "steps": in_a_process("steps", routes[-1], tenants[-1]),
    }
    if options.json:
        print(json.dumps(found, indent=1))
        return
    for name, rows in found.items():
        print(name)
        for row in rows:
            print("   ", ", ".join(f"{key} {value}" for key, value in row.items() if value is not None))


if __name__ == "__main__":
    main()
