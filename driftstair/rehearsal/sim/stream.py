"""One side of a connection in memory: an asyncio transport on a reliable, ordered byte stream.

What a write hands over is with the kernel at once, as far as the receiver's window lets it; the rest waits
in the transport's buffer, and the protocol is told as asyncio tells it. Closing sends what is buffered and
then a FIN, or a reset if something that came is still unread (RFC 1122, 4.2.2.13; RFC 9293, 3.10.4).
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections import deque
from typing import TYPE_CHECKING, Any

from driftstair.rehearsal.sim.loop import ProcessLoop, enter

if TYPE_CHECKING:
    from driftstair.rehearsal.sim.network import Machine, Network

WINDOW = 256 << 10  # bytes on the way or unread by the receiver
HIGH = 64 << 10  # bytes in the transport's buffer until the protocol is told, unless it asks otherwise

FIN = b""  # in place of data: the end of the stream


class Endpoint(asyncio.Transport):
    __slots__ = (
        "_buffer", "_closing", "_eof_pending", "_eof_sent", "_fin_seen", "_gone", "_held", "_high",
        "_last_arrival", "_lost_called", "_low", "_network", "_on_the_way", "_paused_protocol", "_protocol",
        "_reading", "_received", "_reset", "address", "counted", "left_at", "loop", "machine", "peer",
    )  # fmt: skip

    def __init__(self, network: Network, machine: Machine, address: tuple[str, int]) -> None:
        super().__init__()
        self.machine = machine
        self.address = address
        self.peer: Endpoint | None = None
        self.loop: ProcessLoop | None = None
        self.counted = False  # holds a descriptor of its machine
        self._network = network
        self._protocol: Any = None
        self._buffer = bytearray()  # written, not yet with the kernel
        self._high, self._low = HIGH, HIGH // 4
        self._paused_protocol = False
        self._on_the_way = 0  # bytes that the peer's process has not read
        self._last_arrival = 0
        self._held: list[bytes] = []  # while the network does not carry it
        self._received: deque[bytes] = deque()  # arrived, not yet read; FIN stands for the end
        self._reading = True
        self._fin_seen = False
        self._closing = False
        self._eof_pending = False
        self._eof_sent = False
        self._gone = False  # its socket is closed
        self._lost_called = False
        self._reset: OSError | None = None
        self.left_at: int | None = None  # when the peer's end or its reset arrived
        machine.endpoints[self] = None

    def join(self, other: Endpoint) -> None:
        self.peer, other.peer = other, self

    def attach(self, loop: ProcessLoop, protocol: asyncio.BaseProtocol) -> None:
        """The process takes the connection; what has come already is read in its next turn."""
        self.loop, self._protocol = loop, protocol
        protocol.connection_made(self)
        if self._reset is not None:
            loop.call_soon(self._lose, self._reset)
        elif self._received:
            loop.call_soon(self._read_on)

    # What asyncio asks of a transport.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "sockname":
            return self.address
        if name == "peername":
            return self.peer.address if self.peer is not None else default
        return default

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol  # type: ignore[no-any-return]

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing

    def is_reading(self) -> bool:
        return self._reading and not self._closing

    def has_unread(self) -> bool:
        """Whether anything has come, the end included, that the process has not read."""
        return bool(self._received) or self._reset is not None

    def unread_bytes(self) -> int:
        return sum(len(data) for data in self._received if data is not FIN)

    def was_reset(self) -> bool:
        return self._reset is not None

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if not self._reading:
            self._reading = True
            if self._received and self.loop is not None:
                self.loop.call_soon(self._read_on)

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low, self._high

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = HIGH if high is None else high
        self._low = self._high // 4 if low is None else low

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._eof_pending or self._eof_sent:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self._closing or self._gone or not data:
            return
        if self._buffer:
            self._buffer += data
        else:
            room = WINDOW - self._on_the_way
            data = bytes(data)
            if len(data) > room:
                self._buffer += data[room:]
                data = data[:room]
            if data:
                self._transmit(data)
        if len(self._buffer) > self._high and not self._paused_protocol:
            self._paused_protocol = True
            self._protocol.pause_writing()

    def write_eof(self) -> None:
        if self._eof_pending or self._eof_sent or self._closing:
            return
        self._eof_pending = True
        self._end_if_flushed()

    def close(self) -> None:
        """Once all that was written is with the kernel."""
        if self._closing:
            return
        self._closing = True
        if not self._buffer:
            self._lose_soon(None)

    def abort(self) -> None:
        """Now: what the kernel has it still sends, what waits in the buffer is dropped."""
        self._buffer.clear()
        already, self._closing = self._closing, True
        if not already or not self._lost_called:
            self._lose_soon(None)

    def reset(self) -> None:
        """Now, and the peer gets a reset in place of an end (SO_LINGER with a time of 0)."""
        if self._gone or self._lost_called:
            return
        self._buffer.clear()
        self._closing = True
        self._send_reset()
        self._lose_soon(ConnectionAbortedError(errno.ECONNABORTED, os.strerror(errno.ECONNABORTED)))

    # The kernel's side: sending.

    def _transmit(self, data: bytes) -> None:
        self._on_the_way += len(data)
        network = self._network
        link = network.link
        if len(data) > link.segment:
            for start in range(0, len(data), link.segment):
                self._carry(data[start : start + link.segment])
        elif len(data) > 1 and link.split and network.random.random() < link.split:
            cut = network.random.randrange(1, len(data))
            self._carry(data[:cut])
            self._carry(data[cut:])
        else:
            self._carry(data)

    def _carry(self, data: bytes) -> None:
        peer = self.peer
        assert peer is not None
        if self._held or not self.machine.reachable or not peer.machine.reachable:
            self._held.append(data)
            return
        network = self._network
        arrival = max(self._last_arrival, network.scheduler.now + network.delay(self.machine, peer.machine))
        self._last_arrival = arrival
        network.happen(arrival, peer._arrive, data)

    def send_held(self) -> None:
        """The network carries again: what was lost is sent anew."""
        held, self._held = self._held, []
        for data in held:
            self._carry(data)

    def _end_if_flushed(self) -> None:
        if self._buffer:
            return
        if self._eof_pending and not self._eof_sent:
            self._eof_sent = True
            self._carry(FIN)
        if self._closing:
            self._lose_soon(None)

    def _window_opened(self) -> None:
        """The peer has read: more of the buffer may go."""
        if self._gone:
            return
        room = WINDOW - self._on_the_way
        if self._buffer and room > 0:
            data = bytes(self._buffer[:room])
            del self._buffer[:room]
            self._transmit(data)
        if self._paused_protocol and len(self._buffer) <= self._low and not self._lost_called:
            self._paused_protocol = False
            self._call(self._protocol.resume_writing)
        if not self._buffer:
            self._end_if_flushed()

    # The kernel's side: receiving.

    def _arrive(self, data: bytes) -> None:
        peer = self.peer
        assert peer is not None
        if not self.machine.reachable or not peer.machine.reachable:
            peer._held.append(data)
            return
        if self._gone:
            # To a socket that is closed, or of a process that is gone, the kernel answers with a reset.
            if data is not FIN or self._reset is not None:
                self._send_reset()
            return
        if data is FIN:
            self.left_at = self._network.scheduler.now
        self._received.append(data)
        if self._reading and self.loop is not None and len(self._received) == 1:
            self._read_on()

    def _read_on(self) -> None:
        """The process reads what has come; its protocol may pause or close in the midst of it."""
        while self._received and self._reading and not self._closing and not self._gone:
            data = self._received.popleft()
            if data is FIN:
                self._fin_seen = True
                self._call(self._eof)
                return
            peer = self.peer
            assert peer is not None
            peer._on_the_way -= len(data)
            if peer._buffer:
                network = self._network
                when = network.scheduler.now + network.delay(self.machine, peer.machine)
                network.happen(when, peer._window_opened)
            self._call(self._protocol.data_received, data)

    def _eof(self) -> None:
        if not self._protocol.eof_received():
            self.close()

    def _call(self, function: Any, *args: Any) -> None:
        """A protocol's callback, in its own process; what it raises is that process's failure."""
        loop = self.loop
        if loop is None or loop.dead:
            return
        before = asyncio._get_running_loop()
        if before is loop:
            try:
                function(*args)
            except Exception as problem:
                self._fail(loop, problem)
            return
        enter(loop)
        try:
            function(*args)
        except Exception as problem:
            self._fail(loop, problem)
        finally:
            enter(before)  # type: ignore[arg-type]

    def _fail(self, loop: ProcessLoop, problem: Exception) -> None:
        """As asyncio and uvloop do: said, and the connection ends."""
        loop.call_exception_handler({"message": "protocol callback", "exception": problem})
        self.abort()

    def _send_reset(self) -> None:
        peer = self.peer
        if peer is None or not self.machine.reachable or not peer.machine.reachable:
            return  # a reset is sent once; lost is lost
        network = self._network
        arrival = max(self._last_arrival, network.scheduler.now + network.delay(self.machine, peer.machine))
        network.happen(arrival, peer._arrive_reset)

    def _arrive_reset(self) -> None:
        if self._gone or not self.machine.reachable:
            return
        self._reset = ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self.left_at = self.left_at or self._network.scheduler.now
        self._received.clear()
        self._buffer.clear()
        if self.loop is not None:
            self._closing = True
            self._lose_soon(self._reset)

    # The end.

    def _lose_soon(self, problem: OSError | None) -> None:
        if self._lost_called or self.loop is None:
            return
        self._lost_called = True
        self.loop.call_soon(self._lose, problem)

    def _lose(self, problem: OSError | None) -> None:
        self._lost_called = True
        self._closing = True
        if self._gone:
            return
        unread = bool(self._received) and any(data is not FIN for data in self._received)
        was_reset = problem is not None
        self._release()
        if not was_reset:
            if unread:
                self._send_reset()
            elif not self._eof_sent:
                self._eof_sent = True
                self._carry(FIN)
        self._call(self._protocol.connection_lost, problem)
        self._protocol = _Nobody

    def _release(self) -> None:
        self._gone = True
        if self.counted:
            self.counted = False
            self.machine.descriptors -= 1
        # Kept by its machine no longer than it has something to send anew.
        if not self._held:
            self.machine.endpoints.pop(self, None)

    def vanish_with_process(self) -> None:
        """Its process is gone, or never took it: the peer gets a reset, now or when it next sends."""
        if self._gone:
            return
        self._reset = ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self._lost_called = True
        self._closing = True
        self._held.clear()
        self._buffer.clear()
        self._release()
        self._send_reset()


class _NobodyProtocol(asyncio.Protocol):
    """In place of a protocol that has been told of the end."""


_Nobody = _NobodyProtocol()
