"""The network in memory does what sockets do, and does it in virtual time."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from driftstair.rehearsal.sim.loop import ProcessLoop, enter
from driftstair.rehearsal.sim.network import Link, Machine, Network
from driftstair.rehearsal.sim.scheduler import SECOND, Deadlock, Runaway, Scheduler
from driftstair.rehearsal.sim.system import SimulatedSystem

MS = 1_000_000
STEADY = Link(delay=MS, jitter=0.0, split=0.0)


class Peer(asyncio.Protocol):
    """Notes what comes, and when."""

    def __init__(self, now: Callable[[], int], keeps_open: bool = False) -> None:
        self.seen: list[tuple[float, object]] = []  # ms, what
        self.transport: Any = None
        self._now = now
        self._keeps_open = keeps_open

    def _note(self, what: object) -> None:
        self.seen.append((self._now() / MS, what))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._note("made")

    def data_received(self, data: bytes) -> None:
        self._note(data)

    def eof_received(self) -> bool:
        self._note("eof")
        return self._keeps_open

    def connection_lost(self, exc: Exception | None) -> None:
        self._note(type(exc).__name__ if exc else "closed")

    def pause_writing(self) -> None:
        self._note("pause")

    def resume_writing(self) -> None:
        self._note("resume")

    def what(self) -> list[object]:
        return [what for _, what in self.seen]


class World:
    """Two machines; `crashes` has what any process let out."""

    def __init__(self, link: Link = STEADY, descriptors: int = 100) -> None:
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, 7, link)
        self.crashes: list[tuple[str, BaseException | None]] = []
        self.one = self.network.add("one", "10.0.0.1", descriptors)
        self.two = self.network.add("two", "10.0.0.2", descriptors)
        self.loop_one = self.process("one")
        self.loop_two = self.process("two")
        self.accepted: list[Peer] = []
        self.listener: Any = None

    def process(self, name: str) -> ProcessLoop:
        return ProcessLoop(  # type: ignore[abstract]
            self.scheduler, name, lambda what, problem: self.crashes.append((what, problem))
        )

    def now(self) -> int:
        return self.scheduler.now

    def peer(self, keeps_open: bool = False) -> Peer:
        return Peer(self.now, keeps_open)

    def listen(self, backlog: int = 8, keeps_open: bool = False, accepts: bool = True) -> None:
        self.listener = self.two.listen(self.loop_two, ("10.0.0.2", 80), backlog)

        def ready() -> None:
            peer = self.peer(keeps_open)
            self.accepted.append(peer)
            accepted = self.listener.accept()
            self.loop_two.create_task(self.listener.adopt(lambda: peer, accepted))

        if accepts:
            self.listener.resume(ready)

    async def dial(self, keeps_open: bool = False, source: Machine | None = None) -> Peer:
        system = SimulatedSystem(source or self.one, self.loop_one)
        made = await system.dial(lambda: self.peer(keeps_open), ("10.0.0.2", 80))
        assert isinstance(made, Peer)
        return made

    def run(self, main: Coroutine[Any, Any, None], seconds: float = 30.0) -> None:
        """Run `main` in the first process, and what follows from it."""
        problems: list[BaseException] = []

        async def whole() -> None:
            try:
                await main
            except BaseException as problem:
                problems.append(problem)
            self.scheduler.stop()

        self.loop_one.call_soon(lambda: self.loop_one.create_task(whole()))
        self.scheduler.run(int(seconds * SECOND), enter)
        if problems:
            raise problems[0]


def test_bytes_arrive_whole_in_order_and_after_the_delay_of_the_link() -> None:
    world = World(Link(delay=MS, jitter=0.5, segment=1000, split=0.5))
    world.listen()
    sent = bytes(range(256)) * 40

    async def main() -> None:
        peer = await world.dial()
        for start in range(0, len(sent), 700):
            peer.transport.write(sent[start : start + 700])
            await asyncio.sleep(0.0001)
        await asyncio.sleep(1)

    world.run(main())
    (got,) = world.accepted
    chunks = [what for what in got.what() if isinstance(what, bytes)]
    assert b"".join(chunks) == sent
    assert len(chunks) > len(sent) // 700  # some came in two parts
    assert got.seen[1][0] >= 3.0  # there and back for the connection, and there again


def test_the_clock_jumps_and_timers_come_in_their_order() -> None:
    world = World()
    order: list[tuple[float, str]] = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for delay, name in ((3600.0, "c"), (0.5, "a"), (0.5, "b")):
            loop.call_later(delay, lambda name=name: order.append((loop.time(), name)))
        await asyncio.sleep(7200)

    world.run(main(), seconds=10_000)
    assert order == [(0.5, "a"), (0.5, "b"), (3600.0, "c")]


def test_half_close_leaves_the_other_way_open() -> None:
    world = World()
    world.listen(keeps_open=True)

    async def main() -> None:
        peer = await world.dial(keeps_open=True)
        peer.transport.write(b"question")
        peer.transport.write_eof()
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        assert server.what() == ["made", b"question", "eof"]
        server.transport.write(b"answer")
        server.transport.close()
        await asyncio.sleep(0.1)
        assert peer.what() == ["made", b"answer", "eof"]
        with pytest.raises(RuntimeError):
            peer.transport.write(b"more")

    world.run(main())


def test_close_sends_what_is_written_and_then_ends_both_sides() -> None:
    world = World()
    world.listen()

    async def main() -> None:
        peer = await world.dial()
        peer.transport.write(b"last words")
        peer.transport.close()
        await asyncio.sleep(0.1)
        assert peer.what() == ["made", "closed"]
        assert world.accepted[0].what() == ["made", b"last words", "eof", "closed"]
        assert (world.one.descriptors, world.two.descriptors) == (0, 1)  # the listening one

    world.run(main())


def test_what_comes_to_a_closed_socket_is_answered_with_a_reset() -> None:
    world = World()
    world.listen(keeps_open=True)

    async def main() -> None:
        peer = await world.dial()
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        peer.transport.close()
        server.transport.write(b"too late")
        await asyncio.sleep(0.1)
        assert "ConnectionResetError" in server.what()

    world.run(main())


def test_closing_with_unread_data_resets() -> None:
    world = World()
    world.listen()

    async def main() -> None:
        peer = await world.dial(keeps_open=True)
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        server.transport.pause_reading()
        peer.transport.write(b"never read")
        await asyncio.sleep(0.1)
        server.transport.close()
        await asyncio.sleep(0.1)
        assert peer.what() == ["made", "ConnectionResetError"]

    world.run(main())


def test_a_killed_process_resets_its_connections_and_runs_nothing_more() -> None:
    world = World()
    world.listen()
    ran: list[str] = []

    async def main() -> None:
        peer = await world.dial(keeps_open=True)
        world.loop_two.call_later(1.0, ran.append, "after its death")
        await asyncio.sleep(0.1)
        world.two.reset_all()
        world.loop_two.kill()
        await asyncio.sleep(5)
        assert peer.what() == ["made", "ConnectionResetError"]
        assert world.accepted[0].what() == ["made"]
        with pytest.raises(ConnectionRefusedError):
            await world.dial()

    world.run(main())
    assert ran == []


def test_a_machine_that_vanishes_says_nothing_and_gets_the_bytes_when_it_is_back() -> None:
    world = World()
    world.listen(keeps_open=True)

    async def main() -> None:
        peer = await world.dial()
        await asyncio.sleep(0.1)
        world.two.vanish()
        peer.transport.write(b"one ")
        peer.transport.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(3):
                await world.dial()
        (server,) = world.accepted
        assert server.what() == ["made"] and peer.what() == ["made"]
        world.two.come_back()
        await asyncio.sleep(0.1)
        assert b"".join(server.what()[1:]) == b"one two"  # type: ignore[arg-type]

    world.run(main())


def test_a_process_that_dies_while_cut_off_resets_once_its_machine_is_back() -> None:
    world = World()
    world.listen()

    async def main() -> None:
        peer = await world.dial(keeps_open=True)
        world.two.vanish()
        world.two.reset_all()
        world.loop_two.kill()
        peer.transport.write(b"anybody there?")
        await asyncio.sleep(5)
        assert peer.what() == ["made"]
        world.two.come_back()
        await asyncio.sleep(0.1)
        assert peer.what() == ["made", "ConnectionResetError"]

    world.run(main())


def test_nobody_listens_is_refused() -> None:
    world = World()

    async def main() -> None:
        with pytest.raises(ConnectionRefusedError) as caught:
            await world.dial()
        assert caught.value.errno == errno.ECONNREFUSED
        assert world.now() == 2 * MS
        assert world.one.descriptors == 0

    world.run(main())


def test_a_full_accept_queue_drops_the_request_and_the_kernel_asks_again() -> None:
    world = World()
    world.listen(backlog=2, accepts=False)

    async def main() -> None:
        first, second = await world.dial(), await world.dial()
        assert first.what() == second.what() == ["made"]  # up, though nobody has accepted them
        waiting = asyncio.get_running_loop().create_task(world.dial())
        await asyncio.sleep(0.5)
        assert not waiting.done()
        world.listener.accept()
        await waiting
        assert world.now() >= SECOND  # the second SYN

    world.run(main())


def test_no_descriptor_left_is_an_error_at_dial_and_at_accept() -> None:
    world = World(descriptors=2)
    world.listen(accepts=False)

    async def main() -> None:
        await world.dial()
        await world.dial()
        with pytest.raises(OSError) as caught:
            await world.dial()
        assert caught.value.errno == errno.EMFILE
        world.listener.accept()  # with the listening one, its two
        with pytest.raises(OSError) as caught:
            world.listener.accept()
        assert caught.value.errno == errno.EMFILE

    world.run(main())


def test_a_reader_that_pauses_holds_up_the_writer() -> None:
    world = World()
    world.listen()
    size = 1 << 20

    async def main() -> None:
        peer = await world.dial()
        await asyncio.sleep(0.1)
        (server,) = world.accepted
        server.transport.pause_reading()
        peer.transport.write(b"." * size)
        assert peer.what() == ["made", "pause"]
        assert peer.transport.get_write_buffer_size() > 0
        await asyncio.sleep(1)
        assert server.what() == ["made"]
        server.transport.resume_reading()
        await asyncio.sleep(1)
        assert sum(len(what) for what in server.what() if isinstance(what, bytes)) == size
        assert peer.what() == ["made", "pause", "resume"]

    world.run(main())


def test_a_dial_that_is_given_up_costs_no_descriptor_and_leaves_the_server_a_reset() -> None:
    world = World()
    world.listen()

    async def main() -> None:
        task = asyncio.get_running_loop().create_task(world.dial())
        await asyncio.sleep(0.0015)  # the server has it, the answer is on its way
        task.cancel()
        await asyncio.sleep(0.1)
        assert world.one.descriptors == 0
        assert world.accepted[0].what() == ["made", "ConnectionResetError"]

    world.run(main())


def test_what_a_callback_lets_out_is_told_and_ends_its_connection() -> None:
    world = World()

    class Broken(Peer):
        def data_received(self, data: bytes) -> None:
            raise KeyError("planted")

    listener = world.two.listen(world.loop_two, ("10.0.0.2", 80), 8)
    broken = Broken(world.now)

    def ready() -> None:
        world.loop_two.create_task(listener.adopt(lambda: broken, listener.accept()))

    listener.resume(ready)

    async def main() -> None:
        peer = await world.dial()
        peer.transport.write(b"x")
        await asyncio.sleep(0.1)
        assert peer.what()[-1] in ("closed", "ConnectionResetError")

    world.run(main())
    ((_, problem),) = world.crashes
    assert isinstance(problem, KeyError)


def test_what_a_task_lets_out_is_told_when_it_happens() -> None:
    world = World()

    async def fails() -> None:
        await asyncio.sleep(1)
        raise ValueError("planted")

    async def main() -> None:
        task = asyncio.get_running_loop().create_task(fails())
        await asyncio.sleep(2)
        assert [type(problem) for _, problem in world.crashes] == [ValueError]
        del task

    world.run(main())


def test_nothing_left_to_happen_is_a_deadlock_at_once() -> None:
    world = World()

    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(Deadlock):
        world.run(main())
    assert world.now() == 0
    assert any("main" in name or "whole" in name for name in world.loop_one.waiting())


def test_a_process_that_never_lets_time_pass_is_said_and_not_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("driftstair.rehearsal.sim.scheduler.TURNS_MOST", 1000)
    world = World()

    def again() -> None:
        world.loop_one.call_soon(again)

    world.loop_one.call_soon(again)
    with pytest.raises(Runaway, match="one never waits"):
        world.scheduler.run(SECOND, enter)
