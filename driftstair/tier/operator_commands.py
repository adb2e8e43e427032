"""Operators' orders to the tier at the node that they call: permits, and the ownership of tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from driftstair.operations.calls import Call, Order
from driftstair.operations.operator_server import Answer

if TYPE_CHECKING:
    from driftstair.tier.ownership.permits import Kind
    from driftstair.tier.service import Tier

NO_PERMIT = "none"  # stands in the path for the purpose of a permit when the node no longer wants one
TOKEN_LIMIT = 1 << 64  # exclusive


def execute_order(tier: Tier | None, call: Call) -> Answer:
    """Carries out the order of a call and returns the HTTP status with the answer. Status 409 means that the
    node can't carry out the order and that nothing has changed."""
    if tier is None or tier.sharing is None:
        return 404, {"error": "this node is in no tier that shares anything"}
    from driftstair.tier.sharing import NotOwnerError

    try:
        if call.order is Order.PERMIT:
            return 200, tier.sharing.request_permit(_parse_kind(call.arguments[0]))
        task, argument = call.arguments
        if call.order is Order.HAND_OVER:
            return 200, {"task": task, "over": tier.sharing.hand_over(task, _parse_number(argument, 1 << 16))}
        return 200, {
            "task": task,
            "over": tier.sharing.release_task(task, _parse_number(argument, TOKEN_LIMIT)),
        }
    except NotOwnerError as error:
        return 409, {"error": str(error)}
    except ValueError as error:
        return 400, {"error": str(error)}


def _parse_kind(text: str) -> Kind | None:
    """Returns None for NO_PERMIT. Raises ValueError."""
    from driftstair.tier.ownership.permits import Kind

    if text == NO_PERMIT:
        return None
    kinds = {kind.name.lower(): kind for kind in Kind}
    if text not in kinds:
        raise ValueError(
            f"{text[:40]!r} is nothing to be out for; {', '.join(kinds)} or {NO_PERMIT} would do"
        )
    return kinds[text]


def _parse_number(text: str, limit: int) -> int:
    """Parses a decimal number below `limit`. Raises ValueError."""
    if not text.isascii() or not text.isdigit() or len(text) > 20 or int(text) >= limit:
        raise ValueError(f"{text[:40]!r} is no number")
    return int(text)
