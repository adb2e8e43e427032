"""Real sockets whose bytes are counted in both directions."""

from __future__ import annotations

import asyncio
from typing import Any

from driftstair.net.system import ProtocolFactory, SocketSystem


class MeteredTransport:
    """A transport that counts the bytes written."""

    def __init__(self, system: MeteredSystem, transport: asyncio.Transport) -> None:
        self._system = system
        self._transport = transport

    def write(self, data: bytes) -> None:
        """Counts and writes data."""
        self._system.bytes_out += len(data)
        self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class MeteredSystem(SocketSystem):
    """The system interface of one watcher. Counts the TCP payload of the connections that it opens."""

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        """Opens a connection with counters."""
        return await super().dial(lambda: self._add_counters(factory()), address)

    def _add_counters(self, protocol: Any) -> Any:
        on_data, on_connected = protocol.data_received, protocol.connection_made

        def data_received(data: bytes) -> None:
            self.bytes_in += len(data)
            on_data(data)

        def connection_made(transport: asyncio.Transport) -> None:
            on_connected(MeteredTransport(self, transport))

        protocol.data_received, protocol.connection_made = data_received, connection_made
        return protocol
