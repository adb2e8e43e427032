"""A kept connection to another control server: one POST at a time, each with a time limit."""

from __future__ import annotations

import asyncio
from functools import partial

from driftstair.control.http import Response
from driftstair.net.kept_connection import CallError, KeptConnection

DIAL_S_MAX = 2.0  # s until a connection is up; a round trip between regions takes 0.3 s at most
ANSWER_BYTES_MAX = 64 << 10  # of one answer, its head with it


class HttpClient:
    """Dials when a request needs it and keeps the connection while answers come."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._connection: KeptConnection | None = None

    async def post(self, target: str, body: bytes, answer_s_max: float) -> Response:
        """Raises CallError. One caller at a time."""
        try:
            if self._connection is None or self._connection.is_over:
                self._connection = await self._dial()
            async with asyncio.timeout(answer_s_max):
                return Response(*await self._connection.post(target, body))
        except TimeoutError:
            self.close()
            raise CallError(f"no answer within {answer_s_max:g} s") from None
        except OSError as problem:
            self.close()
            raise CallError(problem.strerror or str(problem)) from None
        except BaseException:  # what would come is the answer to a request that nobody waits for
            self.close()
            raise

    async def _dial(self) -> KeptConnection:
        loop = asyncio.get_running_loop()
        make = partial(KeptConnection, self.address, ANSWER_BYTES_MAX)
        try:
            async with asyncio.timeout(DIAL_S_MAX):
                _, connection = await loop.create_connection(make, *self.address)
        except TimeoutError:
            raise CallError(f"no connection within {DIAL_S_MAX:g} s") from None
        return connection

    def close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
