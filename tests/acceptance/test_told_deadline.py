"""The deadline that an attempt sends to its server (X-Deadline): at most the client's remaining time."""

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
DEADLINE_MS = 5000  # deadline of the clients
DIAL_MS = 900  # a dial may take up to 1 s


def sent_deadline_us(message: Message) -> int:
    return int(message.headers["x-deadline"].removesuffix("u"))


def remaining_us(rig: Rig, at: int) -> float:
    """Remaining time (microseconds) of the node's only open request at a time (monotonic ns)."""
    (held,) = rig.node._open_requests.values()
    return (held.parsed.deadline - at) / 1000


async def until_time(at: int) -> None:
    await until(lambda: monotonic_ns() >= at)


def test_attempt_after_a_slow_dial_sends_the_remaining_time() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.node._pools.system = dials = LateDials()
            client = await rig.client()
            asked = monotonic_ns()
            client.writer.write(request(X_Deadline=f"{DEADLINE_MS}m"))
            await asyncio.wait_for(dials.begun.wait(), TIMEOUT_S)
            await until_time(asked + DIAL_MS * MS)
            remaining_max = remaining_us(rig, monotonic_ns())
            dials.up.set()
            assert status(await client.read()) == 200
            (seen,) = server.seen
            assert 0 < sent_deadline_us(seen) <= remaining_max <= (DEADLINE_MS - DIAL_MS) * 1000 + 150_000

    run(test())


def test_each_further_attempt_sends_the_remaining_time() -> None:
    """The first attempt fails after a while, the second is written after a slow dial."""

    async def test() -> None:
        attempts = count()
        remaining_max: list[float] = []

        async def fails_first(_: Message, writer: asyncio.StreamWriter) -> None:
            if next(attempts) == 0:
                await asyncio.sleep(0.3)
                remaining_max.append(remaining_us(rig, monotonic_ns()))
                writer.write(answer(500))
            else:
                writer.write(answer())

        document = configuration()
        # Late answers have a worth, so that there is time for a second attempt.
        document["settings"]["Grades"] = [grade("page", "repeatable", aim_ms=2000) | {"LateShare": 0.5}]
        async with Server("s-1", fails_first) as one, Server("s-2", fails_first) as two:
            document["known"]["servers"] = [one.entry(), two.entry()]
            async with Rig(document) as rig:
                rig.node._pools.system = dials = LateDials(1)
                client = await rig.client()
                client.writer.write(request(X_Deadline=f"{DEADLINE_MS}m"))
                await asyncio.wait_for(dials.begun.wait(), TIMEOUT_S)
                begun = monotonic_ns()
                await until_time(begun + DIAL_MS * MS)
                remaining_max.append(remaining_us(rig, monotonic_ns()))
                dials.up.set()
                assert status(await client.read()) == 200
                deadlines = sorted((sent_deadline_us(seen) for seen in (*one.seen, *two.seen)), reverse=True)
                assert len(deadlines) == 2 and deadlines[0] <= DEADLINE_MS * 1000
                assert deadlines[1] <= remaining_max[1] < remaining_max[0]

    run(test())


def test_pipelined_request_sends_the_time_remaining_from_its_arrival() -> None:
    """Behind a slow answer: the time counts from the last byte of the request, not from its handling."""

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
                request(body=b"first") + request(body=b"second", X_Deadline=f"{DEADLINE_MS}m", **long_head)
            )
            await until(lambda: server.seen)
            came = monotonic_ns()
            await until_time(came + DIAL_MS * MS)
            held.set()
            assert [status(await client.read()) for _ in range(2)] == [200, 200]
            assert sent_deadline_us(server.seen[1]) <= (DEADLINE_MS - DIAL_MS) * 1000 + 150_000

    run(test())
