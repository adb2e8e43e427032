"""Tests of the cache of tenants' limits: a limit is read when it is first used, and again after it has
changed."""

from __future__ import annotations

import pytest

from driftstair.configuration import tenant_table
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.schema import TenantLimits
from driftstair.configuration.tenant_table import TenantTable


class Contents(dict[str, bytes]):
    """Contents by tenant; counts look-ups."""

    look_ups = 0

    def look_up(self, key: ResourceKey) -> bytes | None:
        assert key.kind is ResourceKind.TENANT
        self.look_ups += 1
        return self.get(key.name)


def compile_rate(limits: TenantLimits) -> tuple[float | None]:
    return (limits.per_s,)


@pytest.fixture
def contents() -> Contents:
    return Contents({name: b'{"per_s":2.0}' for name in "abcd"})


def test_a_limit_is_cached_until_it_changes(contents: Contents) -> None:
    table = TenantTable(contents.look_up, compile_rate)
    assert table.find("a") == (2.0,) and table.find("a") == (2.0,) and contents.look_ups == 1
    contents["a"] = b'{"per_s":3.0}'
    table.on_change("a")
    assert table.find("a") == (3.0,)
    del contents["a"]
    table.on_change("a")
    assert table.find("a") is None


def test_the_absence_of_a_limit_is_cached_too(contents: Contents) -> None:
    table = TenantTable(contents.look_up, compile_rate)
    assert table.find("nobody") is None and table.find("nobody") is None and contents.look_ups == 1
    contents["nobody"] = b'{"per_s":4.0}'
    table.on_change("nobody")
    assert table.find("nobody") == (4.0,)


def test_all_limits_are_read_again_after_the_configuration_was_replaced(contents: Contents) -> None:
    table = TenantTable(contents.look_up, compile_rate)
    assert [table.find(name) for name in "ab"] == [(2.0,), (2.0,)]
    contents["a"] = b'{"per_s":3.0}'
    del contents["b"]
    table.on_all_changed()
    assert [table.find(name) for name in "ab"] == [(3.0,), None]


def test_equal_contents_share_one_object(contents: Contents) -> None:
    table = TenantTable(contents.look_up, compile_rate)
    assert table.find("a") is table.find("b")


def test_names_invented_by_clients_do_not_exhaust_the_memory(
    contents: Contents, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tenant_table, "CACHED_TENANTS_MAX", 3)
    monkeypatch.setattr(tenant_table, "CACHED_CONTENTS_MAX", 2)
    table = TenantTable(contents.look_up, compile_rate)
    for number in range(20):
        contents[f"own {number}"] = b'{"per_s":%d.5}' % number
        assert table.find(f"own {number}") == (number + 0.5,)
        assert table.find(f"made up {number}") is None
    assert len(table._by_name) == 3 and len(table._by_content) <= 2


def test_an_unvalidated_content_is_no_limit(contents: Contents) -> None:
    contents["a"] = b'{"new":"key"}'
    assert TenantTable(contents.look_up, compile_rate).find("a") is None
