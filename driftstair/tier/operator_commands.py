"""What operators order of the tier, at the node that they call: permits, and who owns a task."""

from __future__ import annotations

from typing import TYPE_CHECKING

from driftstair.operations.calls import Call, Order
from driftstair.operations.operator_server import Answer

if TYPE_CHECKING:
    from driftstair.tier.ownership.permits import Kind
    from driftstair.tier.service import Tier

NO_MORE = "none"  # in the place of what a permit is for
MAX_TOKEN = 1 << 64


def obey(tier: Tier | None, call: Call) -> Answer:
    """Status 409: the node is asked for something that it can't do; nothing has changed."""
    if tier is None or tier.sharing is None:
        return 404, {"error": "this node is in no tier that shares anything"}
    from driftstair.tier.sharing import NotOwnerError

    try:
        if call.order is Order.PERMIT:
            return 200, tier.sharing.request_permit(_kind(call.arguments[0]))
        task, about = call.arguments
        if call.order is Order.HAND_OVER:
            return 200, {"task": task, "over": tier.sharing.hand_over(task, _number(about, 1 << 16))}
        return 200, {"task": task, "over": tier.sharing.release_task(task, _number(about, MAX_TOKEN))}
    except NotOwnerError as problem:
        return 409, {"error": str(problem)}
    except ValueError as problem:
        return 400, {"error": str(problem)}


def _kind(word: str) -> Kind | None:
    """Raises ValueError."""
    from driftstair.tier.ownership.permits import Kind

    if word == NO_MORE:
        return None
    names = {one.name.lower(): one for one in Kind}
    if word not in names:
        raise ValueError(f"{word[:40]!r} is nothing to be out for; {', '.join(names)} or {NO_MORE} would do")
    return names[word]


def _number(word: str, most: int) -> int:
    """Raises ValueError."""
    if not word.isascii() or not word.isdigit() or len(word) > 20 or int(word) >= most:
        raise ValueError(f"{word[:40]!r} is no number")
    return int(word)
