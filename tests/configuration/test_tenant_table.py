"""A tenant's limit is read when it is first used, and again after it has changed."""

from __future__ import annotations

import pytest

from driftstair.configuration import tenant_table
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.schema import TenantLimits
from driftstair.configuration.tenant_table import TenantTable


class Contents(dict[str, bytes]):
    """By tenant; counts how often it is asked."""

    asked = 0

    def of(self, key: ResourceKey) -> bytes | None:
        assert key.kind is ResourceKind.TENANT
        self.asked += 1
        return self.get(key.name)


def per_s(limits: TenantLimits) -> tuple[float | None]:
    return (limits.per_s,)


@pytest.fixture
def contents() -> Contents:
    return Contents({name: b'{"per_s":2.0}' for name in "abcd"})


def test_a_limit_is_read_once_and_anew_after_a_change(contents: Contents) -> None:
    table = TenantTable(contents.of, per_s)
    assert table.find("a") == (2.0,) and table.find("a") == (2.0,) and contents.asked == 1
    contents["a"] = b'{"per_s":3.0}'
    table.on_change("a")
    assert table.find("a") == (3.0,)
    del contents["a"]
    table.on_change("a")
    assert table.find("a") is None


def test_that_a_tenant_has_no_limit_is_kept_too(contents: Contents) -> None:
    table = TenantTable(contents.of, per_s)
    assert table.find("nobody") is None and table.find("nobody") is None and contents.asked == 1
    contents["nobody"] = b'{"per_s":4.0}'
    table.on_change("nobody")
    assert table.find("nobody") == (4.0,)


def test_another_whole_configuration_is_read_anew(contents: Contents) -> None:
    table = TenantTable(contents.of, per_s)
    assert [table.find(name) for name in "ab"] == [(2.0,), (2.0,)]
    contents["a"] = b'{"per_s":3.0}'
    del contents["b"]
    table.on_change_of_all()
    assert [table.find(name) for name in "ab"] == [(3.0,), None]


def test_equal_contents_are_one_object(contents: Contents) -> None:
    table = TenantTable(contents.of, per_s)
    assert table.find("a") is table.find("b")


def test_names_that_clients_make_up_do_not_fill_the_memory(
    contents: Contents, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tenant_table, "NAMES_MAX", 3)
    monkeypatch.setattr(tenant_table, "CONTENTS_MAX", 2)
    table = TenantTable(contents.of, per_s)
    for number in range(20):
        contents[f"own {number}"] = b'{"per_s":%d.5}' % number
        assert table.find(f"own {number}") == (number + 0.5,)
        assert table.find(f"made up {number}") is None
    assert len(table._by_name) == 3 and len(table._by_content) <= 2


def test_what_was_never_proved_is_no_limit(contents: Contents) -> None:
    contents["a"] = b'{"new":"key"}'
    assert TenantTable(contents.of, per_s).find("a") is None
