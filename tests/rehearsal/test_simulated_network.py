"""The simulated network behaves like sockets, in virtual time."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from driftstair.rehearsal.sim.loop import ProcessLoop, set_running_loop
from driftstair.rehearsal.sim.network import Link, Machine, Network
from driftstair.rehearsal.sim.scheduler import SECOND, Deadlock, Runaway, Scheduler
from driftstair.rehearsal.sim.system import SimulatedSystem

MS = 1_000_000
FIXED_DELAY_LINK = Link(delay_ns=MS, jitter=0.0, split_probability=0.0)


class Peer(asyncio.Protocol):
    """Records the events of a connection and their times."""

    def __init__(self, now: Callable[[], int], stays_open: bool = False) -> None:
        self.events: list[tuple[float, object]] = []  # ms, event
        self.transport: Any = None
        self._now = now
        self._stays_open = stays_open

    def _record(self, event: object) -> None:
        self.events.append((self._now() / MS, event))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._record("made")

    def data_received(self, data: bytes) -> None:
        self._record(data)

    def eof_received(self) -> bool:
        self._record("eof")
        return self._stays_open

    def connection_lost(self, exc: Exception | None) -> None:
        self._record(type(exc).__name__ if exc else "closed")

    def pause_writing(self) -> None:
        self._record("pause")

    def resume_writing(self) -> None:
        self._record("resume")

    def event_names(self) -> list[object]:
        """The events in order, without their times."""
        return [event for _, event in self.events]


class SimulatedWorld:
    """Two machines with a process each; `crashes` has the unhandled exceptions of all processes."""

    def __init__(self, link: Link = FIXED_DELAY_LINK, descriptors: int = 100) -> None:
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, 7, link)
        self.crashes: list[tuple[str, BaseException | None]] = []
        self.client_machine = self.network.add("one", "10.0.0.1", descriptors)
        self.server_machine = self.network.add("two", "10.0.0.2", descriptors)
        self.client_loop = self.process("one")
        self.server_loop = self.process("two")
        self.accepted: list[Peer] = []
        self.listener: Any = None

    def process(self, name: str) -> ProcessLoop:
        return ProcessLoop(  # type: ignore[abstract]
            self.scheduler, name, lambda message, exception: self.crashes.append((message, exception))
        )

    def now(self) -> int:
        return self.scheduler.now

    def peer(self, stays_open: bool = False) -> Peer:
        return Peer(self.now, stays_open)

    def listen(self, backlog: int = 8, stays_open: bool = False, accepts: bool = True) -> None:
        self.listener = self.server_machine.listen(self.server_loop, ("10.0.0.2", 80), backlog)

        def on_ready() -> None:
            peer = self.peer(stays_open)
            self.accepted.append(peer)
            accepted = self.listener.accept()
            self.server_loop.create_task(self.listener.adopt(lambda: peer, accepted))

        if accepts:
            self.listener.resume(on_ready)

    async def dial(self, stays_open: bool = False, source: Machine | None = None) -> Peer:
        system = SimulatedSystem(source or self.client_machine, self.client_loop)
        protocol = await system.dial(lambda: self.peer(stays_open), ("10.0.0.2", 80))
        assert isinstance(protocol, Peer)
        return protocol

    def run(self, main: Coroutine[Any, Any, None], seconds: float = 30.0) -> None:
        """Runs `main` in the first process until it returns; raises its exception."""
        exceptions: list[BaseException] = []

        async def run_to_end() -> None:
            try:
                await main
            except BaseException as exception:
                exceptions.append(exception)
            self.scheduler.stop()

        self.client_loop.call_soon(lambda: self.client_loop.create_task(run_to_end()))
        self.scheduler.run(int(seconds * SECOND), set_running_loop)
        if exceptions:
            raise exceptions[0]


def test_bytes_arrive_complete_in_order_and_after_the_delay_of_the_link() -> None:
    world = SimulatedWorld(Link(delay_ns=MS, jitter=0.5, segment_bytes=1000, split_probability=0.5))
    world.listen()
    sent = bytes(range(256)) * 40

    async def main() -> None:
        peer = await world.dial()
        for start in range(0, len(sent), 700):
            peer.transport.write(sent[start : start + 700])
            await asyncio.sleep(0.0001)
        await asyncio.sleep(1)

    world.run(main())
    (server,) = world.accepted
    chunks = [event for event in server.event_names() if isinstance(event, bytes)]
    assert b"".join(chunks) == sent
    assert len(chunks) > len(sent) // 700  # some segments were split
    assert server.events[1][0] >= 3.0  # a round trip to connect, and the delay of the data


def test_the_clock_jumps_and_timers_fire_in_order() -> None:
    world = SimulatedWorld()
    order: list[tuple[float, str]] = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for delay, name in ((3600.0, "c"), (0.5, "a"), (0.5, "b")):
            loop.call_later(delay, lambda name=name: order.append((loop.time(), name)))
        await asyncio.sleep(7200)

    world.run(main(), seconds=10_000)
    assert order == [(0.5, "a"), (0.5, "b"), (3600.0, "c")]


def test_after_a_half_close_the_other_direction_stays_open() -> None:
    world = SimulatedWorld()
    world.listen(stays_open=True)

    async def main() -> None:
        peer = await world.dial(stays_open=True)
        peer.transport.write(b"question")
        peer.transport.write_eof()
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        assert server.event_names() == ["made", b"question", "eof"]
        server.transport.write(b"answer")
        server.transport.close()
        await asyncio.sleep(0.1)
        assert peer.event_names() == ["made", b"answer", "eof"]
        with pytest.raises(RuntimeError):
            peer.transport.write(b"more")

    world.run(main())


def test_close_sends_the_written_data_and_then_closes_both_ends() -> None:
    world = SimulatedWorld()
    world.listen()

    async def main() -> None:
        peer = await world.dial()
        peer.transport.write(b"last words")
        peer.transport.close()
        await asyncio.sleep(0.1)
        assert peer.event_names() == ["made", "closed"]
        assert world.accepted[0].event_names() == ["made", b"last words", "eof", "closed"]
        assert (world.client_machine.descriptors_in_use, world.server_machine.descriptors_in_use) == (
            0,
            1,
        )  # the listening socket

    world.run(main())


def test_data_for_a_closed_socket_are_answered_with_a_reset() -> None:
    world = SimulatedWorld()
    world.listen(stays_open=True)

    async def main() -> None:
        peer = await world.dial()
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        peer.transport.close()
        server.transport.write(b"too late")
        await asyncio.sleep(0.1)
        assert "ConnectionResetError" in server.event_names()

    world.run(main())


def test_closing_with_unread_data_resets_the_connection() -> None:
    world = SimulatedWorld()
    world.listen()

    async def main() -> None:
        peer = await world.dial(stays_open=True)
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        server.transport.pause_reading()
        peer.transport.write(b"never read")
        await asyncio.sleep(0.1)
        server.transport.close()
        await asyncio.sleep(0.1)
        assert peer.event_names() == ["made", "ConnectionResetError"]

    world.run(main())


def test_a_killed_process_resets_its_connections_and_runs_no_more_callbacks() -> None:
    world = SimulatedWorld()
    world.listen()
    ran: list[str] = []

    async def main() -> None:
        peer = await world.dial(stays_open=True)
        world.server_loop.call_later(1.0, ran.append, "after its death")
        await asyncio.sleep(0.1)
        world.server_machine.reset_all()
        world.server_loop.kill()
        await asyncio.sleep(5)
        assert peer.event_names() == ["made", "ConnectionResetError"]
        assert world.accepted[0].event_names() == ["made"]
        with pytest.raises(ConnectionRefusedError):
            await world.dial()

    world.run(main())
    assert ran == []


def test_a_vanished_machine_is_silent_and_gets_the_data_when_it_comes_back() -> None:
    world = SimulatedWorld()
    world.listen(stays_open=True)

    async def main() -> None:
        peer = await world.dial()
        await asyncio.sleep(0.1)
        world.server_machine.vanish()
        peer.transport.write(b"one ")
        peer.transport.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(3):
                await world.dial()
        (server,) = world.accepted
        assert server.event_names() == ["made"] and peer.event_names() == ["made"]
        world.server_machine.come_back()
        await asyncio.sleep(0.1)
        assert b"".join(server.event_names()[1:]) == b"one two"  # type: ignore[arg-type]

    world.run(main())


def test_a_process_killed_while_cut_off_resets_its_connections_once_its_machine_is_back() -> None:
    world = SimulatedWorld()
    world.listen()

    async def main() -> None:
        peer = await world.dial(stays_open=True)
        world.server_machine.vanish()
        world.server_machine.reset_all()
        world.server_loop.kill()
        peer.transport.write(b"anybody there?")
        await asyncio.sleep(5)
        assert peer.event_names() == ["made"]
        world.server_machine.come_back()
        await asyncio.sleep(0.1)
        assert peer.event_names() == ["made", "ConnectionResetError"]

    world.run(main())


def test_a_dial_without_a_listener_is_refused() -> None:
    world = SimulatedWorld()

    async def main() -> None:
        with pytest.raises(ConnectionRefusedError) as error:
            await world.dial()
        assert error.value.errno == errno.ECONNREFUSED
        assert world.now() == 2 * MS
        assert world.client_machine.descriptors_in_use == 0

    world.run(main())


def test_a_full_accept_queue_drops_the_syn_and_the_kernel_sends_it_again() -> None:
    world = SimulatedWorld()
    world.listen(backlog=2, accepts=False)

    async def main() -> None:
        first, second = await world.dial(), await world.dial()
        assert first.event_names() == second.event_names() == ["made"]  # established, though not accepted yet
        waiting = asyncio.get_running_loop().create_task(world.dial())
        await asyncio.sleep(0.5)
        assert not waiting.done()
        world.listener.accept()
        await waiting
        assert world.now() >= SECOND  # when the SYN was sent again

    world.run(main())


def test_dial_and_accept_fail_without_a_free_descriptor() -> None:
    world = SimulatedWorld(descriptors=2)
    world.listen(accepts=False)

    async def main() -> None:
        await world.dial()
        await world.dial()
        with pytest.raises(OSError) as error:
            await world.dial()
        assert error.value.errno == errno.EMFILE
        world.listener.accept()  # with the listening socket the limit is reached
        with pytest.raises(OSError) as error:
            world.listener.accept()
        assert error.value.errno == errno.EMFILE

    world.run(main())


def test_a_paused_reader_stops_the_writer() -> None:
    world = SimulatedWorld()
    world.listen()
    size = 1 << 20

    async def main() -> None:
        peer = await world.dial()
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        server.transport.pause_reading()
        peer.transport.write(b"." * size)
        assert peer.event_names() == ["made", "pause"]
        assert peer.transport.get_write_buffer_size() > 0
        await asyncio.sleep(1)
        assert server.event_names() == ["made"]
        server.transport.resume_reading()
        await asyncio.sleep(1)
        assert sum(len(event) for event in server.event_names() if isinstance(event, bytes)) == size
        assert peer.event_names() == ["made", "pause", "resume"]

    world.run(main())


def test_a_cancelled_dial_keeps_no_descriptor_and_resets_the_server() -> None:
    world = SimulatedWorld()
    world.listen()

    async def main() -> None:
        task = asyncio.get_running_loop().create_task(world.dial())
        await asyncio.sleep(0.0015)  # the SYN has arrived, the SYN-ACK is on its way
        task.cancel()
        await asyncio.sleep(0.1)
        assert world.client_machine.descriptors_in_use == 0
        assert world.accepted[0].event_names() == ["made", "ConnectionResetError"]

    world.run(main())


def test_an_exception_in_a_callback_is_reported_and_ends_its_connection() -> None:
    world = SimulatedWorld()

    class Broken(Peer):
        def data_received(self, data: bytes) -> None:
            raise KeyError("planted")

    listener = world.server_machine.listen(world.server_loop, ("10.0.0.2", 80), 8)
    broken = Broken(world.now)

    def on_ready() -> None:
        world.server_loop.create_task(listener.adopt(lambda: broken, listener.accept()))

    listener.resume(on_ready)

    async def main() -> None:
        peer = await world.dial()
        peer.transport.write(b"x")
        await asyncio.sleep(0.1)
        assert peer.event_names()[-1] in ("closed", "ConnectionResetError")

    world.run(main())
    ((_, exception),) = world.crashes
    assert isinstance(exception, KeyError)


def test_an_exception_in_a_task_is_reported_at_once() -> None:
    world = SimulatedWorld()

    async def fails() -> None:
        await asyncio.sleep(1)
        raise ValueError("planted")

    async def main() -> None:
        task = asyncio.get_running_loop().create_task(fails())
        await asyncio.sleep(2)
        assert [type(exception) for _, exception in world.crashes] == [ValueError]
        del task

    world.run(main())


def test_a_run_without_further_events_is_a_deadlock_at_once() -> None:
    world = SimulatedWorld()

    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(Deadlock):
        world.run(main())
    assert world.now() == 0
    assert any("main" in name or "run_to_end" in name for name in world.client_loop.pending_tasks())


def test_a_process_that_never_lets_time_advance_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("driftstair.rehearsal.sim.scheduler.EVENTS_PER_INSTANT_MAX", 1000)
    world = SimulatedWorld()

    def reschedule() -> None:
        world.client_loop.call_soon(reschedule)

    world.client_loop.call_soon(reschedule)
    with pytest.raises(Runaway, match="one never waits"):
        world.scheduler.run(SECOND, set_running_loop)
