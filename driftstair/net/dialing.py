"""Dials connections to other processes, and retries dials that fail for lack of local resources."""

from __future__ import annotations

import asyncio
import errno

from driftstair.net.system import ProtocolFactory, System

LOCAL_ERRORS = frozenset((
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EADDRNOTAVAIL, errno.EINTR,
))  # fmt: skip
"""Errors of connect(2) and socket(2) with a cause on this machine: nothing was sent."""
TRANSIENT_ERRORS = LOCAL_ERRORS | {errno.ENETUNREACH}
"""Errors that are retried at once. A network that stays unreachable counts against the other side."""
DEAD_CONNECTION_ERRORS = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH))
"""Errors with which this machine gives up an established connection that the other side has not ended."""
DIAL_TRIES_MAX = 3  # most causes of TRANSIENT_ERRORS are over in a moment
DIAL_RETRY_PAUSE_S = 0.01


async def dial(system: System, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
    """An established connection. Raises OSError, one of TRANSIENT_ERRORS only after retries."""
    for remaining in reversed(range(DIAL_TRIES_MAX)):
        try:
            return await system.dial(factory, address)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or not remaining:
                raise
        await asyncio.sleep(DIAL_RETRY_PAUSE_S)
    raise AssertionError("the last try has returned or raised")
