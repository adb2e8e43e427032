"""The time that an attempt tells its server (X-Deadline): at most what is left to the client."""

from __future__ import annotations

import asyncio
from itertools import count
from time import monotonic_ns

from rig import (
    TIMEOUT_S,
    LateDials,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    grade,
    request,
    run,
    status,
    until,
)

MS = 1_000_000  # ns
PATIENCE_MS = 5000  # that the client tells
DIALED_FOR = 900  # ms; a connection may come up late by up to 1 s


def told_us(message: Message) -> int:
    return int(message.headers["x-deadline"].removesuffix("u"))


def left_us(rig: Rig, at: int) -> float:
    """Microseconds that the node's one open request had left at a time (monotonic ns)."""
    (held,) = rig.node._open_requests.values()
    return (held.parsed.deadline - at) / 1000


async def until_time(at: int) -> None:
    await until(lambda: monotonic_ns() >= at)


def test_an_attempt_written_after_a_late_dial_tells_what_is_left_then() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.node._pools.system = dials = LateDials()
            client = await rig.client()
            asked = monotonic_ns()
            client.writer.write(request(X_Deadline=f"{PATIENCE_MS}m"))
            await asyncio.wait_for(dials.begun.wait(), TIMEOUT_S)
            await until_time(asked + DIALED_FOR * MS)
            most = left_us(rig, monotonic_ns())
            dials.up.set()
            assert status(await client.read()) == 200
            (seen,) = server.seen
            assert 0 < told_us(seen) <= most <= (PATIENCE_MS - DIALED_FOR) * 1000 + 150_000

    run(test())


def test_each_further_attempt_tells_what_is_left_when_it_is_written() -> None:
    """The first one ends with an error after a while, the second is written after a late dial."""

    async def test() -> None:
        attempts = count()
        most: list[float] = []

        async def fails_first(_: Message, writer: asyncio.StreamWriter) -> None:
            if next(attempts) == 0:
                await asyncio.sleep(0.3)
                most.append(left_us(rig, monotonic_ns()))
                writer.write(answer(500))
            else:
                writer.write(answer())

        document = configuration()
        # Late answers are of use, and what is usual leaves time for a further attempt.
        document["settings"]["Grades"] = [grade("page", "repeatable", aim_ms=2000) | {"LateShare": 0.5}]
        async with Server("s-1", fails_first) as one, Server("s-2", fails_first) as two:
            document["known"]["servers"] = [one.entry(), two.entry()]
            async with Rig(document) as rig:
                rig.node._pools.system = dials = LateDials(1)
                client = await rig.client()
                client.writer.write(request(X_Deadline=f"{PATIENCE_MS}m"))
                await asyncio.wait_for(dials.begun.wait(), TIMEOUT_S)
                begun = monotonic_ns()
                await until_time(begun + DIALED_FOR * MS)
                most.append(left_us(rig, monotonic_ns()))
                dials.up.set()
                assert status(await client.read()) == 200
                told = sorted((told_us(seen) for seen in (*one.seen, *two.seen)), reverse=True)
                assert len(told) == 2 and told[0] <= PATIENCE_MS * 1000
                assert told[1] <= most[1] < most[0]

    run(test())


def test_a_pipelined_request_tells_what_is_left_since_it_came() -> None:
    """Behind an answer that takes long: its time counts from its last byte, not from its turn."""

    async def test() -> None:
        held = asyncio.Event()

        async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
            if message.body == b"first":
                await held.wait()
            writer.write(answer(body=b""))

        async with Server("s-1", waits) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            long_head = {f"X_Filler_{number}": "x" * 1000 for number in range(6)}  # not parsed with the first
            client.writer.write(
                request(body=b"first") + request(body=b"second", X_Deadline=f"{PATIENCE_MS}m", **long_head)
            )
            await until(lambda: server.seen)
            came = monotonic_ns()
            await until_time(came + DIALED_FOR * MS)
            held.set()
            assert [status(await client.read()) for _ in range(2)] == [200, 200]
            assert told_us(server.seen[1]) <= (PATIENCE_MS - DIALED_FOR) * 1000 + 150_000

    run(test())
