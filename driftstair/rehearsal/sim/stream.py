"""One end of a connection in memory: an asyncio transport on a reliable, ordered byte stream.

Written data go to the simulated kernel at once, as far as the receiver's window allows; the rest waits in the
transport's buffer, with asyncio's flow control for the protocol. Closing sends the buffered data and then a
FIN, or a reset if received data are still unread (RFC 1122, 4.2.2.13; RFC 9293, 3.10.4).
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections import deque
from typing import TYPE_CHECKING, Any

from driftstair.rehearsal.sim.loop import ProcessLoop, set_running_loop

if TYPE_CHECKING:
    from driftstair.rehearsal.sim.network import Machine, Network

RECEIVE_WINDOW_BYTES = 256 << 10  # in flight, or unread by the receiver
HIGH_WATER_BYTES = 64 << 10  # default; above it the protocol is told to pause writing

FIN = b""  # an empty segment stands for the end of the stream


class Endpoint(asyncio.Transport):
    """One end of a connection, on one machine: the transport of the process and the socket of the kernel."""

    __slots__ = (
        "_buffer",
        "_closing",
        "_eof_pending",
        "_eof_sent",
        "_fin_seen",
        "_high_water",
        "_last_arrival",
        "_loss_scheduled",
        "_low_water",
        "_network",
        "_protocol",
        "_protocol_paused",
        "_reading",
        "_received",
        "_reset_error",
        "_socket_closed",
        "_undelivered",
        "_unread_by_peer",
        "address",
        "holds_descriptor",
        "loop",
        "machine",
        "peer",
        "peer_left_at",
        "resets_on_close",
    )  # fmt: skip

    def __init__(self, network: Network, machine: Machine, address: tuple[str, int]) -> None:
        super().__init__()
        self.machine = machine
        self.address = address
        self.peer: Endpoint | None = None
        self.loop: ProcessLoop | None = None
        self.holds_descriptor = False  # of its machine
        self._network = network
        self._protocol: Any = None
        self._buffer = bytearray()  # written, not yet passed to the kernel
        self._high_water, self._low_water = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._protocol_paused = False
        self._unread_by_peer = 0  # bytes
        self._last_arrival = 0
        self._undelivered: list[bytes] = []  # segments, while either machine is cut off
        self._received: deque[bytes] = deque()  # segments not yet read by the process
        self._reading = True
        self._fin_seen = False
        self._closing = False
        self._eof_pending = False
        self._eof_sent = False
        self.resets_on_close = False  # SO_LINGER with a time of 0
        self._socket_closed = False
        self._loss_scheduled = False
        self._reset_error: OSError | None = None
        self.peer_left_at: int | None = None  # ns; when the peer's FIN or reset arrived
        machine.endpoints[self] = None

    def connect_to(self, other: Endpoint) -> None:
        """Makes two endpoints the ends of one connection."""
        self.peer, other.peer = other, self

    def attach(self, loop: ProcessLoop, protocol: asyncio.BaseProtocol) -> None:
        """Gives the connection to a process. Data that have already arrived are read in its next turn."""
        self.loop, self._protocol = loop, protocol
        protocol.connection_made(self)
        if self._reset_error is not None:
            loop.call_soon(self._finish_closing, self._reset_error)
        elif self._received:
            loop.call_soon(self._deliver_received)

    # The interface of asyncio.Transport.

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
        """Whether data, the end of the stream or a reset have arrived that the process has not read."""
        return bool(self._received) or self._reset_error is not None

    def unread_bytes(self) -> int:
        """How many bytes have arrived that the process has not read."""
        return sum(len(data) for data in self._received if data is not FIN)

    def was_reset(self) -> bool:
        """Whether the connection was reset."""
        return self._reset_error is not None

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if not self._reading:
            self._reading = True
            if self._received and self.loop is not None:
                self.loop.call_soon(self._deliver_received)

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low_water, self._high_water

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high_water = HIGH_WATER_BYTES if high is None else high
        self._low_water = self._high_water // 4 if low is None else low

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._eof_pending or self._eof_sent:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self._closing or self._socket_closed or not data:
            return
        if self._buffer:
            self._buffer += data
        else:
            window_left = RECEIVE_WINDOW_BYTES - self._unread_by_peer
            data = bytes(data)
            if len(data) > window_left:
                self._buffer += data[window_left:]
                data = data[:window_left]
            if data:
                self._transmit(data)
        if len(self._buffer) > self._high_water and not self._protocol_paused:
            self._protocol_paused = True
            self._protocol.pause_writing()

    def write_eof(self) -> None:
        if self._eof_pending or self._eof_sent or self._closing:
            return
        self._eof_pending = True
        self._finish_if_flushed()

    def close(self) -> None:
        """Closes the connection once all written data have been passed to the kernel."""
        if self._closing:
            return
        self._closing = True
        if not self._buffer:
            self._schedule_connection_lost(None)

    def abort(self) -> None:
        """Closes the connection at once: the kernel still sends what it has, the transport's buffer is
        dropped."""
        if self.resets_on_close:
            self.reset()
            return
        self._buffer.clear()
        was_closing, self._closing = self._closing, True
        if not was_closing or not self._loss_scheduled:
            self._schedule_connection_lost(None)

    def reset(self) -> None:
        """Closes the connection at once with a reset in place of a FIN (SO_LINGER with a time of 0)."""
        if self._socket_closed or self._loss_scheduled:
            return
        self._buffer.clear()
        self._closing = True
        self._send_reset()
        self._schedule_connection_lost(
            ConnectionAbortedError(errno.ECONNABORTED, os.strerror(errno.ECONNABORTED))
        )

    # The kernel's side: sending.

    def _transmit(self, data: bytes) -> None:
        self._unread_by_peer += len(data)
        network = self._network
        link = network.link
        if len(data) > link.segment_bytes:
            for start in range(0, len(data), link.segment_bytes):
                self._send_segment(data[start : start + link.segment_bytes])
        elif len(data) > 1 and link.split_probability and network.random.random() < link.split_probability:
            split_at = network.random.randrange(1, len(data))
            self._send_segment(data[:split_at])
            self._send_segment(data[split_at:])
        else:
            self._send_segment(data)

    def _send_segment(self, data: bytes) -> None:
        peer = self.peer
        assert peer is not None
        if self._undelivered or not self.machine.reachable or not peer.machine.reachable:
            self._undelivered.append(data)
            return
        network = self._network
        arrival = max(
            self._last_arrival, network.scheduler.now + network.draw_delay_ns(self.machine, peer.machine)
        )
        self._last_arrival = arrival
        network.schedule(arrival, peer._on_segment, data)

    def send_undelivered(self) -> None:
        """Sends again, in order, the segments lost while a machine was cut off."""
        segments, self._undelivered = self._undelivered, []
        for data in segments:
            self._send_segment(data)

    def _finish_if_flushed(self) -> None:
        if self._buffer:
            return
        if self._eof_pending and not self._eof_sent:
            self._eof_sent = True
            self._send_segment(FIN)
        if self._closing:
            self._schedule_connection_lost(None)

    def _on_window_opened(self) -> None:
        """The peer has read data: passes more of the buffer to the kernel."""
        if self._socket_closed:
            return
        window_left = RECEIVE_WINDOW_BYTES - self._unread_by_peer
        if self._buffer and window_left > 0:
            data = bytes(self._buffer[:window_left])
            del self._buffer[:window_left]
            self._transmit(data)
        if self._protocol_paused and len(self._buffer) <= self._low_water and not self._loss_scheduled:
            self._protocol_paused = False
            self._call_protocol(self._protocol.resume_writing)
        if not self._buffer:
            self._finish_if_flushed()

    # The kernel's side: receiving.

    def _on_segment(self, data: bytes) -> None:
        peer = self.peer
        assert peer is not None
        if not self.machine.reachable or not peer.machine.reachable:
            peer._undelivered.append(data)
            return
        if self._socket_closed:
            # The kernel answers data for a closed socket, or for that of an ended process, with a reset.
            if data is not FIN or self._reset_error is not None:
                self._send_reset()
            return
        if data is FIN:
            self.peer_left_at = self._network.scheduler.now
        self._received.append(data)
        if self._reading and self.loop is not None and len(self._received) == 1:
            self._deliver_received()

    def _deliver_received(self) -> None:
        """Passes received segments to the protocol, which may pause reading or close meanwhile."""
        while self._received and self._reading and not self._closing and not self._socket_closed:
            data = self._received.popleft()
            if data is FIN:
                self._fin_seen = True
                self._call_protocol(self._on_eof)
                return
            peer = self.peer
            assert peer is not None
            peer._unread_by_peer -= len(data)
            if peer._buffer:
                network = self._network
                arrival = network.scheduler.now + network.draw_delay_ns(self.machine, peer.machine)
                network.schedule(arrival, peer._on_window_opened)
            self._call_protocol(self._protocol.data_received, data)

    def _on_eof(self) -> None:
        if not self._protocol.eof_received():
            self.close()

    def _call_protocol(self, callback: Any, *args: Any) -> None:
        """Runs a callback of the protocol in its own process; an exception is a failure of that process."""
        loop = self.loop
        if loop is None or loop.dead:
            return
        previous_loop = asyncio._get_running_loop()
        if previous_loop is loop:
            try:
                callback(*args)
            except Exception as exception:
                self._on_callback_error(loop, exception)
            return
        set_running_loop(loop)
        try:
            callback(*args)
        except Exception as exception:
            self._on_callback_error(loop, exception)
        finally:
            set_running_loop(previous_loop)  # type: ignore[arg-type]

    def _on_callback_error(self, loop: ProcessLoop, exception: Exception) -> None:
        """Reports an exception of a protocol's callback and aborts the connection, as asyncio and uvloop
        do."""
        loop.call_exception_handler({"message": "protocol callback", "exception": exception})
        self.abort()

    def _send_reset(self) -> None:
        peer = self.peer
        if peer is None or not self.machine.reachable or not peer.machine.reachable:
            return  # a reset is sent only once, and may be lost
        network = self._network
        arrival = max(
            self._last_arrival, network.scheduler.now + network.draw_delay_ns(self.machine, peer.machine)
        )
        network.schedule(arrival, peer._on_reset)

    def _on_reset(self) -> None:
        if self._socket_closed or not self.machine.reachable:
            return
        self._reset_error = ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self.peer_left_at = self.peer_left_at or self._network.scheduler.now
        self._received.clear()
        self._buffer.clear()
        if self.loop is not None:
            self._closing = True
            self._schedule_connection_lost(self._reset_error)

    # The end of the connection.

    def _schedule_connection_lost(self, exception: OSError | None) -> None:
        if self._loss_scheduled or self.loop is None:
            return
        self._loss_scheduled = True
        self.loop.call_soon(self._finish_closing, exception)

    def _finish_closing(self, exception: OSError | None) -> None:
        self._loss_scheduled = True
        self._closing = True
        if self._socket_closed:
            return
        unread = bool(self._received) and any(data is not FIN for data in self._received)
        was_reset = exception is not None
        self._close_socket()
        if not was_reset:
            if unread:
                self._send_reset()
            elif not self._eof_sent:
                self._eof_sent = True
                self._send_segment(FIN)
        self._call_protocol(self._protocol.connection_lost, exception)
        self._protocol = _DETACHED_PROTOCOL

    def _close_socket(self) -> None:
        self._socket_closed = True
        if self.holds_descriptor:
            self.holds_descriptor = False
            self.machine.descriptors_in_use -= 1
        # The machine keeps the endpoint only while it has segments to send again.
        if not self._undelivered:
            self.machine.endpoints.pop(self, None)

    def close_with_process(self) -> None:
        """Closes the socket of a process that has ended or never accepted the connection: the peer gets a
        reset, now or when it next sends."""
        if self._socket_closed:
            return
        self._reset_error = ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        self._loss_scheduled = True
        self._closing = True
        self._undelivered.clear()
        self._buffer.clear()
        self._close_socket()
        self._send_reset()


class _DetachedProtocol(asyncio.Protocol):
    """Replaces a protocol after its `connection_lost`."""


_DETACHED_PROTOCOL = _DetachedProtocol()
