"""The state that a log of change sets adds up to."""

from __future__ import annotations

from random import Random
from sys import getrefcount

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


def test_at_each_step_of_an_application_the_state_is_the_old_one_or_the_new_one() -> None:
    state = ConfigurationState()
    names = [f"tenant-{number}" for number in range(200)]
    state.apply(logged(1, *(put(TENANT, name, b'{"burst":1.0}') for name in names)))
    for number, _ in enumerate(state.applying(logged(2, *(put(TENANT, name, b"{}") for name in names)))):
        contents = {state.content(ResourceKey(TENANT, name)) for name in names}
        assert contents == ({b"{}"} if state.revision == 2 else {b'{"burst":1.0}'}), number
    assert state.revision == 2


def test_an_application_that_is_left_halfway_is_as_if_it_had_not_begun_or_is_whole() -> None:
    names = [f"tenant-{number}" for number in range(200)]
    steps = 0
    while True:
        state, whole = ConfigurationState(), ConfigurationState()
        first = logged(1, *(put(TENANT, name) for name in names))
        application = state.applying(first)
        if sum(1 for _ in zip(range(steps), application, strict=False)) < steps:
            break
        application.close()
        if state.revision == 0:
            assert state.digest == 0 and len(state) == 0
            state.apply(first)
        whole.apply(first)
        then = logged(2, Change(TENANT, names[7]), put(TENANT, "another"))
        state.apply(then)
        whole.apply(then)
        assert list(state.resources()) == list(whole.resources()) and state.digest == whole.digest
        steps += 1
    assert steps > 10


def test_a_digest_by_the_change_is_that_of_the_whole() -> None:
    state, random = ConfigurationState(), Random(7)
    for revision in range(1, 300):
        changes = [
            Change(TENANT, name) if random.random() < 0.3 else put(TENANT, name, b'{"burst":%d}' % revision)
            for name in random.sample("abcdefgh", 3)
        ]
        state.apply(logged(revision, *changes))
    hashes = (resource_hash(one.key, one.revision, bytes(one.content)) for one in state.resources())
    assert state.digest == sum(hashes) % (1 << 64)


@pytest.mark.parametrize("revision", [-1, 1 << 63])
def test_a_snapshot_of_no_possible_revision_is_refused(revision: int) -> None:
    with pytest.raises(ValueError, match="no revision"):
        ConfigurationState.restore(1, [Resource(TENANT, "acme", revision, msgspec.Raw(b"{}"))])
    with pytest.raises(ValueError, match="no revision"):
        ConfigurationState.restore(revision, [])


def test_contents_do_not_keep_the_document_alive_that_they_came_in() -> None:
    line = b'{"kind":"tenant","name":"acme","revision":1,"content":{"burst":1.0}}' + b" " * 10_000
    resource = msgspec.json.decode(line, type=Resource)
    state = ConfigurationState.restore(1, [resource])
    assert state.content(resource.key) == b'{"burst":1.0}'
    del resource
    assert getrefcount(line) == 2  # this name and the argument
