"""The tier in the daemon: between the core of the membership, a socket, a timer and what is written down.

Nothing of a request waits for any of it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from driftstair.net.system import DatagramSocket, System
from driftstair.settings import Config
from driftstair.tier import loan_expiry, member_list, peer_config, wire
from driftstair.tier.history import History
from driftstair.tier.member_list import MemberListError
from driftstair.tier.membership import events as api
from driftstair.tier.membership.core import NEVER, Membership
from driftstair.tier.membership.members import Claim, State, Traits
from driftstair.tier.wire import Codec, InvalidDatagram

if TYPE_CHECKING:
    from driftstair.limits.budgets import TokenBudget
    from driftstair.tier.collector import LedgerCollector
    from driftstair.tier.ownership.permits import Rules
    from driftstair.tier.shared.budget import BudgetSpec
    from driftstair.tier.sharing import Sharing
    from driftstair.tier.tokens import TokenFile
    from lichenspring.interface import DecisionModule

log = logging.getLogger(__name__)

EPOCH = 1_704_067_200  # s of Unix time: 2024-01-01 00:00 UTC
GENERATIONS_PER_S = 16
BIND_AGAIN = 0.5  # s: the process before this one may hold the address yet
SAID_EVERY = 60.0  # s between two lines on datagrams that were thrown away
DEGRADED_HEALTH_SCORE = 4  # of the local health score: by then the fault is likely here
KEPT_EVERY = 5.0  # s between two writes of the list
FORMAT = "driftstair.tier/1"


def generation_at(time_ns: int) -> int:
    """The generation of a process that starts at that time. A clock that is off is no harm: the tier tells a
    process what its number was called before."""
    return min(
        max(1, (time_ns - EPOCH * 1_000_000_000) * GENERATIONS_PER_S // 1_000_000_000), wire.MAX_COUNT - 1
    )


class Tier:
    """One process of the tier. `folder`: where its list of members outlives it; `budgets`: of the fleet;
    `judges`: whether judgements on servers are shared; `collect`: the folder of all ledgers, and where the
    billing side is; `permits`: to be out; `shares`: budgets may come later. Without any of these nothing of
    shared state is loaded."""

    def __init__(
        self, config: Config, peers: peer_config.PeerConfig, period: int, key: bytes, history: History | None,
        folder: Path | None, system: System, budgets: Sequence[BudgetSpec] = (), judges: bool = False,
        collect: tuple[Path, tuple[str, int]] | None = None, permits: Rules | None = None,
        shares: bool = False,
    ) -> None:  # fmt: skip
        self._told = peers
        self._system = system
        self._codec = Codec(key)
        self._history = history
        self._lent = folder / f"{config.name}.lent" if folder else None
        self._token_lost = False  # the last write of a token failed
        self._opened = False  # once: what is said for a start is said once
        self._kept = folder / f"{config.name}.members" if folder else None
        self._tokens = folder / f"{config.name}.tokens" if folder else None
        self._disk: TokenFile | None = None
        self._loop = asyncio.get_running_loop()
        self._socket: DatagramSocket | None = None
        self._binding: asyncio.TimerHandle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self._keeping: asyncio.TimerHandle | None = None
        self._saying: asyncio.TimerHandle | None = None
        self._thrown: Counter[str] = Counter()  # datagrams, since the last line on them
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes_in = self._bytes_out = self._datagrams_in = 0
        self._thrown_all: Counter[str] = Counter()
        self._numbers = {address: number for number, address in enumerate(peers.peers)}
        shares = shares or bool(budgets or judges or collect or permits)
        supports = wire.SUPPORTS_MEMBERSHIP | (wire.SUPPORTS_SHARED if shares else 0)
        self.core = Membership(
            peers.own_number, len(peers.peers), generation_at(system.time_ns()),
            Traits(peers.zone, wire.VERSION, supports), period, Random(config.seed ^ 0x7E12),
            wire.MAX_CLAIMS_BYTES, wire.claim_size,
        )  # fmt: skip
        self.sharing: Sharing | None = None
        self._collecting: LedgerCollector | None = None
        if shares:
            from driftstair.tier.sharing import EvidenceSettings, PermitSettings, Sharing

            self.sharing = Sharing(
                budgets, Random(config.seed ^ 0x54A2), system.monotonic_ns, self._sharers, self._carry,
                self._write, EvidenceSettings(peers.zone, self._sound, self._zones) if judges else None,
                ("collect",) if collect else (),
                PermitSettings(permits, self._generations) if permits else None, self._keep_token,
            )  # fmt: skip
        if collect:
            from driftstair.tier.collector import TASK, LedgerCollector

            sharing = self.sharing
            assert sharing is not None
            self._collecting = LedgerCollector(
                *collect, lambda: sharing.token(TASK), lambda token: sharing.floor(TASK, token), self._write,
                system.run_blocking,
            )  # fmt: skip

    # Its life.

    def start(self) -> None:
        claims: tuple[Claim, ...] = ()
        if self._kept is not None:
            try:
                claims = member_list.read(self._kept)
            except MemberListError as problem:
                log.warning("%s tells of no member: it %s", self._kept.name, problem)
            self._keeping = self._loop.call_later(KEPT_EVERY, self._keep_again)
        self._write("start", nodes=len(self._told.peers))
        self._bind(first=True)
        self._tell(api.Start(claims))
        if self._collecting is not None:
            self._collecting.start()

    def _bind(self, first: bool = False) -> None:
        self._binding = None
        try:
            self._socket = self._system.open_datagram_socket(
                self._told.listen, self._came, wire.MAX_DATAGRAM_BYTES
            )
        except OSError as problem:
            if first:
                log.warning("peer_listen can't be used yet: %s", problem.strerror)
            self._binding = self._loop.call_later(BIND_AGAIN, self._bind)
            return
        if self.sharing is not None:
            # The machine gives the address to one process alone: whoever has it has the number's escrow.
            lent_until = loan_expiry.take(self._lent) if self._lent is not None and not self._opened else None
            self._opened = True
            self.sharing.open(
                self._told.own_number,
                self.core.own_claim.generation,
                len(self._told.peers),
                lent_until,
                self._token(),
            )
            self._set_timer()

    def update_specs(self, budgets: Sequence[BudgetSpec]) -> None:
        """The service file has been replaced."""
        if self.sharing is not None:
            self.sharing.update_specs(budgets)
            self._set_timer()

    def tokens(self, name: str) -> TokenBudget:
        """A budget of the fleet, for a route. Raises KeyError in a tier without any."""
        if self.sharing is None:
            raise KeyError(name)
        return self.sharing.tokens(name)

    def shares_budgets(self) -> bool:
        return self.sharing is not None

    def nodes(self) -> int:
        return len(self._told.peers)

    def _sharers(self) -> list[int]:
        return [
            number
            for number, one in self.core.live_claims().items()
            if one.traits.supports & wire.SUPPORTS_SHARED
        ]

    def _generations(self) -> dict[int, tuple[int, int]]:
        """By number: generation and zone of those that live and share state, this node among them."""
        known = self.core.live_claims().items()
        return {self._told.own_number: (self.core.own_claim.generation, self._told.zone)} | {
            number: (one.generation, one.traits.zone)
            for number, one in known
            if one.traits.supports & wire.SUPPORTS_SHARED
        }

    def _sound(self) -> bool:
        """Whether this node's word on servers is worth anything."""
        return not self.core.is_isolated() and self.core.health.score < DEGRADED_HEALTH_SCORE

    def _zones(self) -> dict[int, int]:
        """Of those that live, this node among them, by number."""
        known = self.core.live_claims().items()
        return {self._told.own_number: self._told.zone} | {number: one.traits.zone for number, one in known}

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        return module if self.sharing is None else self.sharing.wrap_module(module)

    def _carry(self, to: int, items: bytes) -> None:
        self._tell(api.SendPayload(to, items))

    def reload(self, config: Config) -> None:
        """The platform may name other peers."""
        try:
            peers = peer_config.read(config)
        except peer_config.PeerConfigError as problem:
            log.error("the new peers are not used: %s", problem)
            return
        before, self._told = self._told, peers
        if peers == before:
            return
        moved = frozenset(
            number for number, address in enumerate(peers.peers)
            if number < len(before.peers) and before.peers[number] != address
        )  # fmt: skip
        self._numbers = {address: number for number, address in enumerate(peers.peers)}
        log.info("the tier has %d nodes, and this is number %d", len(peers.peers), peers.own_number)
        if peers.listen != before.listen:
            self._unbind()
            self._bind(first=True)
        self._tell(api.PeersChanged(len(peers.peers), peers.own_number, moved))
        if self.sharing is not None and self._socket is not None:
            self.sharing.open(
                peers.own_number, self.core.own_claim.generation, len(peers.peers), token=self._token()
            )
        self._write("moved", number=peers.own_number, nodes=len(peers.peers))

    def leave(self) -> None:
        """The process ends as planned; until `close` others are still answered."""
        if self.sharing is not None:
            self.sharing.leave()
        self._tell(api.Leave())

    async def close(self) -> None:
        for timer in (self._timer, self._keeping, self._saying):
            if timer is not None:
                timer.cancel()
        if self._collecting is not None:
            await self._collecting.close()
        lent_until = None if self.sharing is None else self.sharing.core.lent_until()
        self._unbind()
        if self._lent is not None and lent_until is not None:
            path, until = self._lent, lent_until
            await self._system.run_blocking(lambda: loan_expiry.write(path, until))
        for task in list(self._tasks):
            await task
        if self._kept is not None:
            await self._keep()
        self._write("end")
        if self._history is not None:
            self._history.close()

    def _unbind(self) -> None:
        if self._binding is not None:
            self._binding.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        if self.sharing is not None:
            self.sharing.close()

    # The core.

    def _tell(self, event: api.Event) -> None:
        for action in self.core.handle(self._system.monotonic_ns(), event):
            match action:
                case api.Send(message):
                    self._send(message)
                case api.StateChanged(claim, why, told_too):
                    if claim.number == self._told.own_number and self.sharing is not None:
                        self.sharing.set_generation(claim.generation)
                    if claim.number != self._told.own_number:
                        log.info("node %d is %s: %s", claim.number, claim.state.name.lower(), why)
                    self._write(
                        "member", member=claim.number, state=claim.state.name.lower(),
                        incarnation=claim.incarnation, member_life=claim.generation, told=told_too, why=why,
                    )  # fmt: skip
                case api.ProcessStalled(late):
                    self._write("stood-still", late_ns=late)
                case api.PayloadReceived(sender, generation, items):
                    if self.sharing is not None:
                        self.sharing.heard(sender, generation, items)
                case api.Superseded(generation):
                    if self.sharing is not None:
                        self.sharing.close()  # the other process has this number's escrow
                    log.error(
                        "another process is node %d; this one is out of the tier", self._told.own_number
                    )
                    self._write("superseded", by_life=generation)
        self._set_timer()

    def _write(self, event: str, **fields: Any) -> None:
        if self._history is not None:
            now = self._system.monotonic_ns()
            self._history.write(now, self._told.own_number, self.core.own_claim.generation, event, **fields)

    def _set_timer(self) -> None:
        wanted = self.core.wake_at
        if self.sharing is not None:
            wanted = min(wanted, self.sharing.core.wake_at)
        if self._timer is not None:
            if self._timer_at <= wanted:
                return  # it is early, and sets itself again
            self._timer.cancel()
            self._timer = None
        if wanted < NEVER:
            wait = max(0, wanted - self._system.monotonic_ns()) / 1e9
            self._timer_at = wanted
            self._timer = self._loop.call_later(wait, self._wake)

    def _wake(self) -> None:
        self._timer = None
        if self.sharing is not None:
            self.sharing.wake()
        if self._system.monotonic_ns() < self.core.wake_at:
            self._set_timer()
        else:
            self._tell(api.Wake())

    # DatagramSocket.

    def _send(self, message: api.Message) -> None:
        if self._socket is not None and message.recipient < len(self._told.peers):
            data = self._codec.encode(message)
            self._bytes_out += len(data)
            self._socket.send(data, self._told.peers[message.recipient])

    def _came(self, data: bytes, source: tuple[str, int]) -> None:
        number = self._numbers.get(source)
        if number is None:
            self._throw("unknown_address")
            return
        try:
            message = self._codec.decode(data)
        except InvalidDatagram as problem:
            self._throw(str(problem))
            return
        if message.sender_claim.number != number:
            self._throw("other_address")  # of a node that has been told other peers, or a forgery
            return
        self._bytes_in += len(data)
        self._datagrams_in += 1
        self._tell(api.Received(message))

    def _throw(self, why: str) -> None:
        """Counted, and said once a minute at most."""
        self._thrown[why] += 1
        self._thrown_all[why] += 1
        if self._saying is None:
            self._saying = self._loop.call_later(0.0, self._say)

    def _say(self) -> None:
        if not self._thrown:
            self._saying = None
            return
        counts = ", ".join(f"{why} {number}" for why, number in sorted(self._thrown.items()))
        log.warning("datagrams thrown away: %s", counts)
        self._thrown.clear()
        self._saying = self._loop.call_later(SAID_EVERY, self._say)

    # The list that outlives the process.

    def _keep_again(self) -> None:
        task = self._loop.create_task(self._keep())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._keeping = self._loop.call_later(KEPT_EVERY, self._keep_again)

    async def _keep(self) -> None:
        path, claims = self._kept, self.core.all_claims()
        assert path is not None
        try:
            await self._system.run_blocking(lambda: member_list.write(path, claims))
        except OSError as problem:
            log.warning("the list of members is not kept: %s", problem.strerror)

    # The token on the disk.

    def _token(self) -> int | None:
        """None: there is no disk, or what is there can't be read: floors are by generations then."""
        if self._tokens is None:
            return None
        if self._disk is None:
            from driftstair.tier.tokens import TokenFile, TokenFileError

            try:
                self._disk = TokenFile(self._tokens)
            except (TokenFileError, OSError) as problem:
                why = problem.strerror if isinstance(problem, OSError) else problem
                log.warning("%s is not used: %s", self._tokens.name, why)
                return None
        return self._disk.token

    def _keep_token(self, token: int) -> None:
        task = self._loop.create_task(self._put_token(token))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _put_token(self, token: int) -> None:
        disk, sharing = self._disk, self.sharing
        assert disk is not None and sharing is not None
        try:
            await self._system.run_blocking(lambda: disk.write(token))
        except OSError as problem:
            if not self._token_lost:
                log.error("this member of the council promises nothing: %s", problem.strerror)
            self._token_lost = True
            sharing.persist_failed()
        else:
            self._token_lost = False
            sharing.token_persisted(token)
        self._set_timer()

    # For those who ask.

    def report(self, servers: Iterable[str] = ()) -> dict[str, Any]:
        """As JSON: `driftstair.tier/1`. Times in s. `servers`: names of those that the list tells of."""
        core, socket = self.core, self._socket
        mine = core.own_claim
        return {
            "format": FORMAT,
            "node": {
                "number": mine.number, "life": mine.generation, "incarnation": mine.incarnation,
                "state": mine.state.name.lower(), "zone": mine.traits.zone, "health": core.health.score,
                "alone": core.is_isolated(), "superseded": core.superseded,
            },
            "members": [
                {
                    "number": one.number, "state": _name(one.state), "life": one.generation,
                    "incarnation": one.incarnation, "zone": one.zone, "version": one.version,
                    "supports": one.supports, "held_s": _seconds(one.state_age_ns),
                    "heard_s": _seconds(one.heard_age_ns),
                    "round_trip_s": round(one.round_trip_ns / 1e9, 6) if one.round_trip_ns else None,
                    "suspected_by": list(one.suspected_by), "dead_in_s": _seconds(one.dead_in_ns),
                    "unheard": one.presumed_dead,
                }
                for one in core.member_views(self._system.monotonic_ns())
            ],
            "counts": {
                **core.counts, "in": self._datagrams_in, "bytes_in": self._bytes_in,
                "bytes_out": self._bytes_out, "unsent": socket.send_errors if socket else 0,
                "broken": socket.receive_errors if socket else 0, "bound": int(socket is not None),
                **{f"thrown_{why}": number for why, number in sorted(self._thrown_all.items())},
            },
            **({} if self.sharing is None else {"shared": self.sharing.report(servers)}),
        }  # fmt: skip


def _name(state: State | None) -> str:
    return "unknown" if state is None else state.name.lower()


def _seconds(ns: int) -> float | None:
    return None if ns < 0 else round(ns / 1e9, 3)
