"""Tests of the state that results from a log of change sets."""

from __future__ import annotations

from random import Random
from sys import getrefcount

import msgspec
import pytest

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey, ResourceKind, resource_hash
from driftstair.configuration.state import RECENT_IDS_MAX, ConfigurationState, RevisionGapError

ROUTE, TENANT, BUDGET = ResourceKind.ROUTE, ResourceKind.TENANT, ResourceKind.BUDGET


def put_change(kind: ResourceKind, name: str, content: bytes = b'{"per_s":1.0}') -> Change:
    return Change(kind, name, msgspec.Raw(content))


def logged_change_set(revision: int, *changes: Change, change_set_id: str = "") -> LoggedChangeSet:
    return LoggedChangeSet(revision, ChangeSet(change_set_id or f"set-{revision}", changes))


def test_an_applied_change_set_is_in_the_state_with_its_revision() -> None:
    state = ConfigurationState()
    state.apply(logged_change_set(1, put_change(TENANT, "acme"), put_change(BUDGET, "retries")))
    state.apply(logged_change_set(2, put_change(TENANT, "acme", b'{"burst":2.0}'), Change(BUDGET, "retries")))
    key = ResourceKey(TENANT, "acme")
    assert state.revision == 2 and len(state) == 1
    assert state.content(key) == b'{"burst":2.0}'
    assert state.resource(key) == Resource(TENANT, "acme", 2, msgspec.Raw(b'{"burst":2.0}'))
    assert state.content(ResourceKey(BUDGET, "retries")) is None
    assert state.digest == resource_hash(key, 2, b'{"burst":2.0}')


@pytest.mark.parametrize("revision", [0, 1, 3, -1])
def test_a_change_set_out_of_sequence_changes_nothing(revision: int) -> None:
    state = ConfigurationState()
    state.apply(logged_change_set(1, put_change(TENANT, "acme")))
    before = (state.revision, state.digest, list(state.resources()), state.recent_ids())
    with pytest.raises(RevisionGapError) as raised:
        state.apply(
            logged_change_set(revision, put_change(TENANT, "acme", b"{}"), put_change(TENANT, "other"))
        )
    assert (raised.value.expected, raised.value.received) == (2, revision)
    assert (state.revision, state.digest, list(state.resources()), state.recent_ids()) == before


def test_a_bounded_number_of_recent_change_set_ids_is_kept() -> None:
    state = ConfigurationState()
    for revision in range(1, RECENT_IDS_MAX + 3):
        state.apply(logged_change_set(revision))
    assert state.revision_of("set-1") is None and state.revision_of("set-2") is None
    assert state.revision_of("set-3") == 3
    assert len(state.recent_ids()) == RECENT_IDS_MAX


def test_a_restored_state_equals_the_state_of_the_snapshot() -> None:
    state = ConfigurationState()
    state.apply(
        logged_change_set(1, put_change(TENANT, "b"), put_change(ROUTE, "z"), put_change(BUDGET, "c"))
    )
    state.apply(logged_change_set(2, put_change(TENANT, "a")))
    restored = ConfigurationState.restore(state.revision, state.resources(), state.recent_ids())
    assert (restored.revision, restored.digest) == (state.revision, state.digest)
    assert list(restored.resources()) == list(state.resources())
    assert restored.revision_of("set-1") == 1


def test_resources_are_listed_in_key_order_and_can_start_behind_a_key() -> None:
    state = ConfigurationState()
    state.apply(
        logged_change_set(
            1,
            put_change(TENANT, "b"),
            put_change(ROUTE, "z"),
            put_change(BUDGET, "c"),
            put_change(TENANT, "a"),
        )
    )
    keys = [resource.key for resource in state.resources()]
    assert [str(key) for key in keys] == ["budget/c", "route/z", "tenant/a", "tenant/b"]
    assert [listed.key for listed in state.resources(after=keys[1])] == keys[2:]
    assert [str(listed.key) for listed in state.resources(after=ResourceKey(ROUTE, "zz"))] == [
        "tenant/a",
        "tenant/b",
    ]


def test_first_conflict_finds_a_mismatched_expected_revision() -> None:
    state = ConfigurationState()
    state.apply(logged_change_set(1, put_change(TENANT, "acme")))
    matching = Change(TENANT, "acme", msgspec.Raw(b"{}"), expected_revision=1)
    absent = Change(TENANT, "new", msgspec.Raw(b"{}"), expected_revision=0)
    mismatched = Change(TENANT, "acme", msgspec.Raw(b"{}"), expected_revision=0)
    assert state.first_conflict(ChangeSet("one", (matching, absent))) is None
    assert state.first_conflict(ChangeSet("two", (absent, mismatched))) == mismatched


def test_after_each_step_of_apply_the_state_is_the_old_or_the_new_one() -> None:
    state = ConfigurationState()
    names = [f"tenant-{number}" for number in range(200)]
    state.apply(logged_change_set(1, *(put_change(TENANT, name, b'{"burst":1.0}') for name in names)))
    for number, _ in enumerate(
        state.apply_in_steps(logged_change_set(2, *(put_change(TENANT, name, b"{}") for name in names)))
    ):
        contents = {state.content(ResourceKey(TENANT, name)) for name in names}
        assert contents == ({b"{}"} if state.revision == 2 else {b'{"burst":1.0}'}), number
    assert state.revision == 2


def test_an_abandoned_apply_leaves_the_state_unchanged_or_complete() -> None:
    names = [f"tenant-{number}" for number in range(200)]
    steps_taken = 0
    while True:
        state, uninterrupted = ConfigurationState(), ConfigurationState()
        first = logged_change_set(1, *(put_change(TENANT, name) for name in names))
        steps_of_apply = state.apply_in_steps(first)
        if sum(1 for _ in zip(range(steps_taken), steps_of_apply, strict=False)) < steps_taken:
            break
        steps_of_apply.close()
        if state.revision == 0:
            assert state.digest == 0 and len(state) == 0
            state.apply(first)
        uninterrupted.apply(first)
        second = logged_change_set(2, Change(TENANT, names[7]), put_change(TENANT, "another"))
        state.apply(second)
        uninterrupted.apply(second)
        assert (
            list(state.resources()) == list(uninterrupted.resources())
            and state.digest == uninterrupted.digest
        )
        steps_taken += 1
    assert steps_taken > 10


def test_the_incremental_digest_equals_the_sum_over_all_resources() -> None:
    state, random = ConfigurationState(), Random(7)
    for revision in range(1, 300):
        changes = [
            Change(TENANT, name)
            if random.random() < 0.3
            else put_change(TENANT, name, b'{"burst":%d}' % revision)
            for name in random.sample("abcdefgh", 3)
        ]
        state.apply(logged_change_set(revision, *changes))
    hashes = (
        resource_hash(resource.key, resource.revision, bytes(resource.content))
        for resource in state.resources()
    )
    assert state.digest == sum(hashes) % (1 << 64)


@pytest.mark.parametrize("revision", [-1, 1 << 63])
def test_a_snapshot_with_an_invalid_revision_is_rejected(revision: int) -> None:
    with pytest.raises(ValueError, match="no revision"):
        ConfigurationState.restore(1, [Resource(TENANT, "acme", revision, msgspec.Raw(b"{}"))])
    with pytest.raises(ValueError, match="no revision"):
        ConfigurationState.restore(revision, [])


def test_contents_do_not_keep_their_source_document_in_memory() -> None:
    line = b'{"kind":"tenant","name":"acme","revision":1,"content":{"burst":1.0}}' + b" " * 10_000
    resource = msgspec.json.decode(line, type=Resource)
    state = ConfigurationState.restore(1, [resource])
    assert state.content(resource.key) == b'{"burst":1.0}'
    del resource
    assert getrefcount(line) == 2  # this name and the argument
