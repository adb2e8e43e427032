"""A rebuilt configuration against the one that its change sets made step by step, over seeded histories.

A longer search is started by hand, with `REBUILD_HISTORIES=10000` in the environment.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Generator
from typing import TypeVar, cast

import pytest
from control_server import BUDGET, DRAIN, ROUTE, TENANT, ChangeLog, change
from harness import node_context, route, with_class

from driftstair.configuration.change_sets import Change, ChangeSet
from driftstair.configuration.resources import ResourceKind
from driftstair.configuration.state import ConfigurationState
from driftstair.configuration.validation import EMPTY_SERVICE, IncrementalValidator
from driftstair.node_configuration.disk import StateOnDisk
from driftstair.node_configuration.in_force import ConfigurationInForce, NodeContext
from driftstair.node_configuration.loaded_file import LoadedFile
from driftstair.node_configuration.persistence import ConfigurationStore
from driftstair.node_configuration.records import Record, encode_record
from driftstair.node_configuration.whole_configuration import PreviousConfiguration, build_steps

HISTORIES = int(os.environ.get("REBUILD_HISTORIES", "1000"))
PARTS = 3  # tests that the histories are divided among
SETS_MAX, CHANGES_MAX = 8, 4
DELETED_SHARE = 0.35
LATE = node_context(with_class("late"))  # a platform that has the class of all routes
Contents = dict[str, tuple[int, bytes]]  # revision and content, by key

Result = TypeVar("Result")


def run_steps(steps: Generator[None, None, Result]) -> Result:
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result


def random_route(choices: random.Random, number: int) -> dict[str, object]:
    """A route that may need a budget, and may be for a class that the node does not have."""
    content = route(choices.choice(("page", "page", "late")), choices.randrange(1, 9), f"/r{number}")
    budget = choices.choice((None, None, "b0", "b1"))
    return content | ({} if budget is None else {"admit": {"rate": {"fleet": budget}}})


RANDOM_CONTENT: dict[ResourceKind, Callable[[random.Random, int], object]] = {
    ROUTE: random_route,
    DRAIN: lambda choices, _: {"reason": str(choices.randrange(99))},
    BUDGET: lambda choices, _: {"per_s": float(choices.randrange(1, 50))},
    TENANT: lambda choices, _: {"in_flight": choices.randrange(1, 50)},
}
NAMES = {ROUTE: ("r0", "r1", "r2"), DRAIN: ("s0", "s1", "s2"), BUDGET: ("b0", "b1"), TENANT: ("t0", "t1")}


def random_changes(choices: random.Random) -> tuple[Change, ...]:
    changes: dict[str, Change] = {}
    for _ in range(choices.randint(1, CHANGES_MAX)):
        kind = choices.choice((DRAIN, DRAIN, ROUTE, ROUTE, BUDGET, TENANT))
        number = choices.randrange(len(NAMES[kind]))
        is_deleted = choices.random() < DELETED_SHARE
        name, content = NAMES[kind][number], RANDOM_CONTENT[kind](choices, number)
        changes[name] = change(kind, name, None if is_deleted else content)
    return tuple(changes.values())


class RecordingStore:
    """A file of records in memory, in place of a `ConfigurationStore`."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def append(self, record: Record) -> None:
        self.records.append(record)


class History:
    """A log whose change sets control servers have accepted, and the node that has applied them in order."""

    def __init__(self, seed: int) -> None:
        choices = random.Random(seed)
        self.log = ChangeLog()
        self.node = ConfigurationInForce(node_context())
        self._store = RecordingStore()
        self._disk = StateOnDisk(cast(ConfigurationStore, self._store), lambda: self.node)
        self._store.records = snapshot(self.node)
        validator = IncrementalValidator(with_class("late"), EMPTY_SERVICE, ConfigurationState())
        for _ in range(choices.randint(2, SETS_MAX)):
            changes = random_changes(choices)
            assessment = run_steps(validator.assess_in_steps(ChangeSet("judged", changes)))
            if not assessment.violations:
                for _ in validator.apply_assessment_in_steps(assessment):
                    pass
                self._apply(changes)

    def _apply(self, changes: tuple[Change, ...]) -> None:
        logged = self.log.put(*changes)
        applied = run_steps(self.node.apply_steps(logged, lambda keys: None))
        self._disk.on_applied(logged, applied)
        self.assert_is_received(self.node)

    def assert_is_received(self, in_force: ConfigurationInForce) -> None:
        assert in_force.received_digest() == self.log.state.digest
        assert in_force.revision == self.log.state.revision

    def rebuild(
        self, before: ConfigurationInForce, context: NodeContext | None = None
    ) -> ConfigurationInForce:
        """As after a SIGHUP."""
        previous = PreviousConfiguration(before.state.resource, before.refused_deletions())
        resources = list(before.received_resources())
        built = run_steps(build_steps(resources, before.revision, context or node_context(), previous))
        self.assert_is_received(built)
        return built

    def start(self, records: list[Record]) -> ConfigurationInForce:
        """As at a start from a file."""
        file = LoadedFile()
        for record in records:
            for _ in file.load_steps(encode_record(record)):
                pass
        state = file.complete_state()
        built = run_steps(build_steps(state.resources(), state.revision, node_context(), file.previous()))
        self.assert_is_received(built)
        return built

    def appended_records(self) -> list[Record]:
        """The node's file: a snapshot of nothing, and the change sets behind it."""
        return self._store.records

    def take_snapshot(self) -> ConfigurationInForce:
        """As after a snapshot from a control server."""
        previous = PreviousConfiguration(self.node.state.resource, self.node.refused_deletions())
        state = self.log.state
        built = run_steps(build_steps(state.resources(), state.revision, node_context(), previous))
        self.assert_is_received(built)
        return built


def snapshot(node: ConfigurationInForce) -> list[Record]:
    disk = StateOnDisk(None, lambda: node)
    return [*disk.snapshot_records(), *disk.snapshot_end()]


def contents(in_force: ConfigurationInForce) -> Contents:
    return {
        str(resource.key): (resource.revision, bytes(resource.content))
        for resource in in_force.state.resources()
    }


@pytest.mark.parametrize("part", range(PARTS))
def test_a_rebuilt_configuration_equals_the_applied_one(part: int) -> None:
    """Guards against a refused change set that is half in force after a SIGHUP, a start or a snapshot."""
    for seed in range(part, HISTORIES, PARTS):
        history = History(seed)
        node = history.node
        rebuilt = history.rebuild(node)
        if list(rebuilt.refusals) == list(node.refusals):
            assert contents(rebuilt) == contents(node), seed
        else:  # later sets have replaced what was bad of a refused one
            assert set(rebuilt.refusals) < set(node.refusals), seed
        again = [
            history.rebuild(rebuilt), history.take_snapshot(), history.start(history.appended_records()),
            history.start(snapshot(node)), history.start(snapshot(rebuilt)),
        ]  # fmt: skip
        for other in again:
            assert contents(other) == contents(rebuilt), seed
            assert list(other.refusals) == list(rebuilt.refusals), seed


@pytest.mark.parametrize("part", range(PARTS))
def test_a_rebuilt_configuration_keeps_what_a_new_context_refuses(part: int) -> None:
    for seed in range(part, HISTORIES, PARTS):
        history = History(seed)
        whole = history.rebuild(history.node, LATE)
        assert not whole.refusals and whole.state.digest == history.log.state.digest, seed
        reduced = history.rebuild(whole)
        expected = {key: value for key, value in contents(whole).items() if b'"late"' not in value[1]}
        assert contents(reduced) == expected, seed
        assert contents(history.rebuild(reduced)) == expected, seed
        assert contents(history.rebuild(reduced, LATE)) == contents(whole), seed
