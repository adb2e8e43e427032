"""The service file of a rehearsed tier: the scenario's budgets, and a route that spends from them."""

from __future__ import annotations

from driftstair.rehearsal import scenario as model

ROUTE_SETTINGS = {"admitted": "admit = { rate = { fleet = \"admitted\" } }",
         "retries": "retry = { budget = { fleet = \"retries\" } }"}  # fmt: skip


def budget_tables(nodes: model.Nodes) -> str:
    """Returns the tables that follow [tier] in the service file."""
    fleet_budgets = nodes.budgets()
    if not fleet_budgets:
        return ""
    tables = [
        f'[tier.budgets.{name}]\nper_s = {float(budget.per_s)!r}\nburst = "{budget.burst_s * 1000:.0f}ms"'
        for name, budget in fleet_budgets.items()
    ]
    return "\n".join(
        [*tables, '[[route]]\nname = "all"', *(ROUTE_SETTINGS[name] for name in fleet_budgets), ""]
    )
