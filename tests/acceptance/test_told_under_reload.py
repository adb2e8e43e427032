"""A drain that the old watch reports while a SIGHUP changes the address of discovery."""

from __future__ import annotations

import json
import os
from dataclasses import replace

import pytest
from rig import SYSTEM, Discovery, Rig, Server, configuration, request, run, status, until

from driftstair.hosts import parse_address
from driftstair.reloading import Reloader
from driftstair.settings import Config
from lichenspring.interface import ListKind

REQUESTS = 20  # the chance that none goes to one of two servers is one in a million


def send_change_now(discovery: Discovery, version: int, server: Server) -> None:
    """Sends a change at once, not in the next turn of the loop: the node's kernel has it on return."""
    line = json.dumps({"version": version, "full": False, "servers": [server.entry()]}).encode() + b"\n"
    descriptor = discovery._writers[-1].get_extra_info("socket").fileno()
    assert os.write(descriptor, b"%x\r\n%s\r\n" % (len(line), line)) > len(line)


def with_discovery_at(rig: Rig, discovery: Discovery) -> Config:
    return replace(rig.config, discovery=parse_address(discovery.address))


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("when", ["while it is served", "before the new address answers"])
def test_drain_from_old_address_is_applied_until_the_new_one_answers(when: str, mode: str) -> None:
    """Guards against closing the old watch with the line unread: the new address may take seconds to answer,
    and meanwhile requests went to the draining server."""

    async def test() -> None:
        async with (
            Discovery() as old,
            Discovery() as new,
            Server("s-1") as drained,
            Server("s-2") as other,
        ):
            document = configuration(drained, other, discovery=old.address)
            document["settings"]["MembershipMode"] = mode
            document["settings"]["Contract"]["AskWithin"] = 10**9  # the first call is made soon
            new.reply = b""  # accepts the call, but does not answer
            async with Rig(document) as rig:
                await until(lambda: old.targets)
                old.push(8, drained, other, full=True)
                client = await rig.client()
                while not drained.seen:
                    assert status(await client.ask(request())) == 200
                drained.state = "Terminating"

                def reread() -> Config:
                    if when == "while it is served":
                        send_change_now(old, 9, drained)
                    return with_discovery_at(rig, new)

                await Reloader(rig.node, rig.config, reread, SYSTEM).reload()
                await until(lambda: new.targets)
                if when == "before the new address answers":
                    send_change_now(old, 9, drained)
                    await until(lambda: len(rig.node.servers.ready) == 1)
                seen = len(drained.seen)
                for _ in range(REQUESTS):
                    assert status(await client.ask(request())) == 200
                assert len(drained.seen) == seen

    run(test())


@pytest.mark.parametrize("end", ["answered", "refused"])
def test_old_watch_is_read_until_the_new_address_sends_its_list(end: str) -> None:
    """After that a node keeps one watch only, and updates from the old address may predate the new list.
    A new address that refuses the call has sent no list, so updates from the old one are still applied."""

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Server("s-1") as one, Server("s-2") as two:
            document = configuration(one, discovery=old.address)
            document["settings"]["MembershipMode"] = "pushed"
            if end == "refused":
                new.reply = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            async with Rig(document) as rig:
                await until(lambda: old.targets)
                old.push(8, one, full=True)
                await until(lambda: rig.spy.lists(ListKind.FULL))
                await Reloader(rig.node, rig.config, lambda: with_discovery_at(rig, new), SYSTEM).reload()
                await until(lambda: new.targets)
                if end == "answered":
                    new.push(3, two, full=True)
                    await until(lambda: old.open == 0)
                    old.push(9, one, full=True)  # not read
                else:
                    await until(lambda: len(new.targets) > 1)  # refused, and called again
                    assert old.open == 1
                    old.push(9, two, full=True)
                    await until(lambda: len(rig.spy.lists(ListKind.FULL)) == 2)
                client = await rig.client()
                assert status(await client.ask(request())) == 200
                assert len(rig.spy.lists(ListKind.FULL)) == 2
                assert two.seen and not one.seen

    run(test())
