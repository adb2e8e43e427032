"""Connections to other processes: dials that fail for want of this machine's own are made again."""

from __future__ import annotations

import asyncio
import errno

from driftstair.net.system import ProtocolFactory, System

LOCAL_ERRORS = frozenset((
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EADDRNOTAVAIL, errno.EINTR,
))  # fmt: skip
"""Errors of connect(2) and socket(2) that tell of this machine, not of the other: nothing left it."""
MOMENTARY_ERRORS = LOCAL_ERRORS | {errno.ENETUNREACH}
"""Those worth another try at once. A network that stays out of reach is the other side's, to be avoided."""
DEAD_ERRORS = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH))
"""Errors by which this machine gives up a connection that stood: the other side has ended nothing."""
DIALS = 3  # tries at one dial that fails for such a reason: most are over in a moment
PAUSE = 0.01  # s between two of them


async def dial(system: System, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
    """A connection that came up. Raises OSError; one of MOMENTARY_ERRORS only after some tries."""
    for left in reversed(range(DIALS)):
        try:
            return await system.dial(factory, address)
        except OSError as problem:
            if problem.errno not in MOMENTARY_ERRORS or not left:
                raise
        await asyncio.sleep(PAUSE)
    raise AssertionError("the last try has returned or raised")
