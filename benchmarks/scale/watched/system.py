"""Real sockets whose bytes are counted, a connection's both ways."""

from __future__ import annotations

import asyncio
from typing import Any

from driftstair.net.system import ProtocolFactory, SocketSystem


class MeteredTransport:
    """A transport that counts what is written."""

    def __init__(self, system: MeteredSystem, transport: asyncio.Transport) -> None:
        self._system = system
        self._transport = transport

    def write(self, data: bytes) -> None:
        self._system.bytes_out += len(data)
        self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class MeteredSystem(SocketSystem):
    """Of one watcher; TCP payload, in connections that it dials."""

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        return await super().dial(lambda: self._metered(factory()), address)

    def _metered(self, protocol: Any) -> Any:
        received, connected = protocol.data_received, protocol.connection_made

        def data_received(data: bytes) -> None:
            self.bytes_in += len(data)
            received(data)

        def connection_made(transport: asyncio.Transport) -> None:
            connected(MeteredTransport(self, transport))

        protocol.data_received, protocol.connection_made = data_received, connection_made
        return protocol
