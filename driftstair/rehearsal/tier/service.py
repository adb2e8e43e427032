"""Of a rehearsed tier's service file: what the scenario says of budgets, and a route that spends on them."""

from __future__ import annotations

from driftstair.rehearsal import scenario as model

SPENT = {"admitted": "admit = { rate = { fleet = \"admitted\" } }",
         "retries": "retry = { budget = { fleet = \"retries\" } }"}  # fmt: skip


def budgets(nodes: model.Nodes) -> str:
    """Tables that stand after [tier]."""
    given = nodes.budgets()
    if not given:
        return ""
    out = [
        f'[tier.budgets.{name}]\nper_s = {float(one.per_s)!r}\nburst = "{one.burst_s * 1000:.0f}ms"'
        for name, one in given.items()
    ]
    return "\n".join([*out, '[[route]]\nname = "all"', *(SPENT[name] for name in given), ""])
