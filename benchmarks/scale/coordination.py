"""Slopes by nodes of what few of them do for all: the collector's look at its folder, the disruption budget
controller's polls and answers, the store of outcome reports, and the report that an operator asks for."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from random import Random

from benchmarks.scale import documents
from benchmarks.scale.meter import cpu_each, measured, median_each
from benchmarks.scale.peers import KEY, PERIOD, all_alive

OFFERED = 200  # outcome reports once the store holds as many as are offered first
ASKS = 20
PERMIT_TERM = 300 * documents.SECOND  # ns, the default of `[tier.permits]`
AT_ONCE = 2  # nodes that may be unavailable, as the operators' page has it
SERVERS_JUDGED = 10


def prepare_folder(size: int, folder: Path) -> None:
    for node in range(size):
        folder.joinpath(f"n{node}-00000001.ledger").write_bytes(b"entry\n")


def measure_collector(size: int, folder: Path) -> dict[str, float]:
    """One look of the collector at a folder with a ledger of each node, as it takes one a second."""
    from driftstair.tier.collector import is_unlocked, ledger_nodes

    def look() -> int:
        """What `LedgerCollector._run` does on the event loop where all that is there has been brought in."""
        return sum(
            sum(path.stat().st_size for path in folder.glob(f"{node}-*.ledger"))
            for node in ledger_nodes(folder)
        )

    began = time.process_time()
    look()
    spent = time.process_time() - began
    return {"look_hold_s": spent, "is_free_us": cpu_each(lambda _: is_unlocked(folder, "n0"), ASKS) * 1e6}


def measure_controller(size: int, folder: Path) -> dict[str, float]:
    """A controller in office: its first polls, a request for a permit once all have answered, its memory."""
    from driftstair.tier.ownership.disruption_controller import DisruptionController
    from driftstair.tier.ownership.permits import Ask, PollReply, Rules

    living = {number: (1, number % 8) for number in range(size)}
    controller = DisruptionController(Rules(AT_ONCE, PERMIT_TERM), 0, size, lambda: living)
    controller.lead(1, 7)
    polls, first = measured(lambda: controller.tick(2))

    def answers() -> None:
        for number in living:
            controller.heard(3, number, 1, PollReply(7, 0, 0, 0))

    _, answering = measured(answers)
    asking = median_each(
        lambda turn: controller.heard(4 + turn, turn % size, 1, Ask(turn + 1, 0, 4 + turn)), ASKS
    )
    ticking = median_each(lambda turn: controller.tick(50 + turn), ASKS)
    return {
        "polls": len(polls), "poll_cpu_ms": first.cpu_s * 1e3, "answer_us": answering.cpu_s / size * 1e6,
        "ask_ms": asking * 1e3, "tick_ms": ticking * 1e3, "kept_mb": first.kept_mb + answering.kept_mb,
    }  # fmt: skip


def measure_reports(size: int, folder: Path) -> dict[str, float]:
    """A store that holds the load of `size` nodes, and the cost of taking in reports of failing servers."""
    from driftstair.tier.shared.facts import EVIDENCE, KINDS, LOAD, Fact, Facts

    store = Facts(0, 1, Random(1))
    value = (9, 5, 0, 20, 2)

    def loads() -> None:
        for owner in range(1, size):
            store.take(1, Fact(owner, 1, 1, LOAD, 0, 1, value[: KINDS[LOAD].fields]), size)

    _, filling = measured(loads)

    def report(turn: int) -> None:
        owner = 1 + turn * 37 % max(1, size - 1)
        store.take(2, Fact(owner, 1, 2 + turn, EVIDENCE, turn % SERVERS_JUDGED, 2, value), size)

    taking = median_each(report, OFFERED)
    reading = median_each(lambda _: store.subjects(3, EVIDENCE), ASKS)
    ticking = median_each(lambda _: store.tick(3), ASKS)
    return {
        "held": len(store), "dropped": store.dropped, "take_us": taking * 1e6, "read_us": reading * 1e6,
        "tick_us": ticking * 1e6, "kept_mb": filling.kept_mb,
    }  # fmt: skip


def prepare_report(size: int, folder: Path) -> None:
    folder.joinpath("old.json").write_text(json.dumps(documents.platform(peers=size, nodes=size)))


def measure_report(size: int, folder: Path) -> dict[str, float]:
    """What `driftstair tier show` asks a node for."""

    async def run() -> dict[str, float]:
        from driftstair.config import load
        from driftstair.net.system import SOCKET_SYSTEM
        from driftstair.tier import peer_config
        from driftstair.tier.service import Tier

        config = load({"BALANCER_CONFIG": str(folder / "old.json")})
        process = Tier(config, peer_config.read(config), PERIOD, KEY, None, None, SOCKET_SYSTEM)
        process._handle_event(all_alive(size))
        return {
            "report_bytes": len(json.dumps(process.report())),
            "report_hold_ms": median_each(lambda _: json.dumps(process.report()), ASKS) * 1e3,
        }

    return asyncio.run(run())
