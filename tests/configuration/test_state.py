"""The state that a log of change sets adds up to."""

from __future__ import annotations

import msgspec
import pytest

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey, ResourceKind, resource_hash
from driftstair.configuration.state import RECENT_IDS_MAX, ConfigurationState, RevisionGapError

ROUTE, TENANT, BUDGET = ResourceKind.ROUTE, ResourceKind.TENANT, ResourceKind.BUDGET


def put(kind: ResourceKind, name: str, content: bytes = b'{"per_s":1.0}') -> Change:
    return Change(kind, name, msgspec.Raw(content))


def logged(revision: int, *changes: Change, id: str = "") -> LoggedChangeSet:
    return LoggedChangeSet(revision, ChangeSet(id or f"set-{revision}", changes))


def test_a_change_set_is_in_the_state_with_its_revision() -> None:
    state = ConfigurationState()
    state.apply(logged(1, put(TENANT, "acme"), put(BUDGET, "retries")))
    state.apply(logged(2, put(TENANT, "acme", b'{"burst":2.0}'), Change(BUDGET, "retries")))
    key = ResourceKey(TENANT, "acme")
    assert state.revision == 2 and len(state) == 1
    assert state.content(key) == b'{"burst":2.0}'
    assert state.resource(key) == Resource(TENANT, "acme", 2, msgspec.Raw(b'{"burst":2.0}'))
    assert state.content(ResourceKey(BUDGET, "retries")) is None
    assert state.digest == resource_hash(key, 2, b'{"burst":2.0}')


@pytest.mark.parametrize("revision", [0, 1, 3, -1])
def test_a_change_set_that_is_not_the_next_changes_nothing(revision: int) -> None:
    state = ConfigurationState()
    state.apply(logged(1, put(TENANT, "acme")))
    before = (state.revision, state.digest, list(state.resources()), state.recent_ids())
    with pytest.raises(RevisionGapError) as problem:
        state.apply(logged(revision, put(TENANT, "acme", b"{}"), put(TENANT, "other")))
    assert (problem.value.expected, problem.value.given) == (2, revision)
    assert (state.revision, state.digest, list(state.resources()), state.recent_ids()) == before


def test_ids_of_recent_change_sets_are_kept_and_bounded() -> None:
    state = ConfigurationState()
    for revision in range(1, RECENT_IDS_MAX + 3):
        state.apply(logged(revision))
    assert state.revision_of("set-1") is None and state.revision_of("set-2") is None
    assert state.revision_of("set-3") == 3
    assert len(state.recent_ids()) == RECENT_IDS_MAX


def test_a_restored_state_is_the_one_that_it_was_taken_of() -> None:
    state = ConfigurationState()
    state.apply(logged(1, put(TENANT, "b"), put(ROUTE, "z"), put(BUDGET, "c")))
    state.apply(logged(2, put(TENANT, "a")))
    restored = ConfigurationState.restore(state.revision, state.resources(), state.recent_ids())
    assert (restored.revision, restored.digest) == (state.revision, state.digest)
    assert list(restored.resources()) == list(state.resources())
    assert restored.revision_of("set-1") == 1


def test_resources_come_in_the_order_of_their_keys_and_go_on_behind_one() -> None:
    state = ConfigurationState()
    state.apply(logged(1, put(TENANT, "b"), put(ROUTE, "z"), put(BUDGET, "c"), put(TENANT, "a")))
    keys = [resource.key for resource in state.resources()]
    assert [str(key) for key in keys] == ["budget/c", "route/z", "tenant/a", "tenant/b"]
    assert [one.key for one in state.resources(after=keys[1])] == keys[2:]
    assert [str(one.key) for one in state.resources(after=ResourceKey(ROUTE, "zz"))] == [
        "tenant/a",
        "tenant/b",
    ]


def test_an_expected_revision_that_differs_is_found() -> None:
    state = ConfigurationState()
    state.apply(logged(1, put(TENANT, "acme")))
    right = Change(TENANT, "acme", msgspec.Raw(b"{}"), expected_revision=1)
    fresh = Change(TENANT, "new", msgspec.Raw(b"{}"), expected_revision=0)
    wrong = Change(TENANT, "acme", msgspec.Raw(b"{}"), expected_revision=0)
    assert state.first_conflict(ChangeSet("one", (right, fresh))) is None
    assert state.first_conflict(ChangeSet("two", (fresh, wrong))) == wrong
