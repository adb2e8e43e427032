"""Shares the list of servers between the processes of a node, while there are several.

The platform regards them as one node: what discovery has written to one of them, all of them have to follow.
Each has a watch of its own, and discovery may turn one away for as long as it is crowded. So a process stores
each list that it receives in the state file, as it does with orders, and has the others read that.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

SHARE_INTERVAL_S = 0.05  # between two writes, as a release changes the list many times a second


class ListSharing:
    """Of one process. It shares a list at a time; changes during that are shared together after it."""

    def __init__(
        self, has_other_process: Callable[[], bool], store_list: Callable[[], Awaitable[None]],
        notify_others: Callable[[], Awaitable[None]],
    ) -> None:  # fmt: skip
        """`store_list`: writes the list as it is into the state file, or raises OSError; `notify_others`: has
        the other processes read that file."""
        self._has_other_process = has_other_process
        self._store_list = store_list
        self._notify_others = notify_others
        self._has_changed = False
        self._task: asyncio.Task[None] | None = None

    def on_list_received(self) -> None:
        """Discovery has written a list, or a change of it, to this process."""
        if not self._has_other_process():
            return
        self._has_changed = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._share())

    async def _share(self) -> None:
        try:
            while self._has_changed:
                self._has_changed = False
                await self._store_list()
                await self._notify_others()
                await asyncio.sleep(SHARE_INTERVAL_S)
        except OSError as problem:
            log.warning("the list of servers is not shared with the other process: %s", problem)
        finally:
            self._task = None

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
