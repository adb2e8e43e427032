"""Delivery of a node's messages to itself, which need no datagram."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

Message = TypeVar("Message")


def deliver_local(
    outgoing: Iterable[tuple[int, Message]],
    own_number: int,
    handle: Callable[[Message], Iterable[tuple[int, Message]]],
) -> list[tuple[int, Message]]:
    """Handles the messages to this node itself directly, with those that result from them; returns the
    messages to other nodes."""
    remote: list[tuple[int, Message]] = []
    queue = list(outgoing)
    while queue:
        to, message = queue.pop(0)
        if to == own_number:
            queue += handle(message)
        else:
            remote.append((to, message))
    return remote
