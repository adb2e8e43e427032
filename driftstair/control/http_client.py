"""HTTP client for calls between control servers: one POST at a time on a persistent connection."""

from __future__ import annotations

import asyncio
from functools import partial

from driftstair.control.http import Response
from driftstair.net.kept_connection import CallError, PersistentConnection

DIAL_TIMEOUT_S = 2.0  # a round trip between regions takes 0.3 s at most
ANSWER_BYTES_MAX = 64 << 10  # of one answer, including its head


class HttpClient:
    """Connects when a request needs it, and keeps the connection until a request fails."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._connection: PersistentConnection | None = None

    async def post(self, target: str, body: bytes, timeout_s: float) -> Response:
        """Posts a body and returns the answer. Only one call may run at a time. Raises CallError."""
        try:
            if self._connection is None or self._connection.is_over:
                self._connection = await self._dial()
            async with asyncio.timeout(timeout_s):
                return Response(*await self._connection.post(target, body))
        except TimeoutError:
            self.close()
            raise CallError(f"no answer within {timeout_s:g} s") from None
        except OSError as problem:
            self.close()
            raise CallError(problem.strerror or str(problem)) from None
        except (
            BaseException
        ):  # the answer could still arrive, and would be taken for that to the next request
            self.close()
            raise

    async def _dial(self) -> PersistentConnection:
        loop = asyncio.get_running_loop()
        factory = partial(PersistentConnection, self.address, ANSWER_BYTES_MAX)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, connection = await loop.create_connection(factory, *self.address)
        except TimeoutError:
            raise CallError(f"no connection within {DIAL_TIMEOUT_S:g} s") from None
        return connection

    def close(self) -> None:
        """Closes the connection. The next `post` opens another one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
