"""The tier in the daemon: connects the membership core with a socket, a timer and files.

No request waits for any of this.
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

GENERATION_EPOCH_S = 1_704_067_200  # s of Unix time: 2024-01-01 00:00 UTC
GENERATIONS_PER_S = 16
BIND_RETRY_INTERVAL_S = 0.5  # the previous process may still hold the address
DROP_LOG_INTERVAL_S = 60.0  # between two log lines on dropped datagrams
DEGRADED_HEALTH_SCORE = 4  # from this score on, the fault is likely this node's own
MEMBER_LIST_SAVE_INTERVAL_S = 5.0
FORMAT = "driftstair.tier/1"


def generation_at(time_ns: int) -> int:
    """The generation of a process that starts at that Unix time in ns. A wrong clock does no harm, because
    the other nodes tell a process the latest generation of its number."""
    return min(
        max(1, (time_ns - GENERATION_EPOCH_S * 1_000_000_000) * GENERATIONS_PER_S // 1_000_000_000),
        wire.MAX_COUNT - 1,
    )


class Tier:
    """One process of the tier. `period`: ns between probes; `folder`: for files that outlive the process;
    `budgets`: of the fleet; `shares_evidence`: whether evidence on servers is shared; `collection`: the
    folder of all ledgers and the address of the billing side; `permit_rules`: set if nodes request permits to
    be out; `expects_budgets`: budgets may be added later. Without any of the last five no module of shared
    state is loaded."""

    def __init__(
        self, config: Config, peers: peer_config.PeerConfig, period: int, key: bytes, history: History | None,
        folder: Path | None, system: System, budgets: Sequence[BudgetSpec] = (),
        shares_evidence: bool = False, collection: tuple[Path, tuple[str, int]] | None = None,
        permit_rules: Rules | None = None, expects_budgets: bool = False,
    ) -> None:  # fmt: skip
        self._peer_config = peers
        self._system = system
        self._codec = Codec(key)
        self._history = history
        self._loan_expiry_path = folder / f"{config.name}.lent" if folder else None
        self._token_write_failed = False  # whether the last write failed; repeated failures are logged once
        self._was_opened = False  # the saved expiry of loans is read only when first opened
        self._member_list_path = folder / f"{config.name}.members" if folder else None
        self._saved_claims: tuple[Claim, ...] = ()  # what `read_member_list` has read
        self._token_path = folder / f"{config.name}.tokens" if folder else None
        self._token_file: TokenFile | None = None
        self._loop = asyncio.get_running_loop()
        self._socket: DatagramSocket | None = None
        self._bind_timer: asyncio.TimerHandle | None = None
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_timer_at_ns = NEVER
        self._save_timer: asyncio.TimerHandle | None = None
        self._drop_log_timer: asyncio.TimerHandle | None = None
        self._dropped_since_log: Counter[str] = Counter()  # datagrams by reason
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._bytes_in = self._bytes_out = self._datagrams_in = 0
        self._dropped: Counter[str] = Counter()
        self._numbers_by_address = {address: number for number, address in enumerate(peers.peers)}
        expects_budgets = expects_budgets or bool(budgets or shares_evidence or collection or permit_rules)
        supports = wire.SUPPORTS_MEMBERSHIP | (wire.SUPPORTS_SHARED if expects_budgets else 0)
        self.core = Membership(
            peers.own_number, len(peers.peers), generation_at(system.time_ns()),
            Traits(peers.zone, wire.VERSION, supports), period, Random(config.seed ^ 0x7E12),
            wire.MAX_CLAIMS_BYTES, wire.claim_size,
        )  # fmt: skip
        self.sharing: Sharing | None = None
        self._collector: LedgerCollector | None = None
        if expects_budgets:
            from driftstair.tier.sharing import EvidenceSettings, PermitSettings, Sharing

            self.sharing = Sharing(
                budgets, Random(config.seed ^ 0x54A2), system.monotonic_ns, self._sharing_peers,
                self._send_items, self._write_event,
                EvidenceSettings(peers.zone, self._is_reliable, self._zones_by_node)
                if shares_evidence else None,
                ("collect",) if collection else (),
                PermitSettings(permit_rules, self._live_nodes) if permit_rules else None,
                self._persist_token,
            )  # fmt: skip
        if collection:
            from driftstair.tier.collector import TASK, LedgerCollector

            sharing = self.sharing
            assert sharing is not None
            self._collector = LedgerCollector(
                *collection, lambda: sharing.lease_token(TASK),
                lambda token: sharing.raise_token_floor(TASK, token), self._write_event, system.run_blocking,
            )  # fmt: skip

    # Life cycle.

    def read_member_list(self) -> None:
        """Reads the list that the process before this one saved. Blocks; to be called before `start`."""
        if self._member_list_path is None:
            return
        try:
            self._saved_claims = member_list.read(self._member_list_path)
        except MemberListError as error:
            log.warning("%s is ignored: it %s", self._member_list_path.name, error)

    def start(self) -> None:
        """Joins the tier, at first with the saved member list."""
        if self._member_list_path is not None:
            self._save_timer = self._loop.call_later(MEMBER_LIST_SAVE_INTERVAL_S, self._save_periodically)
        self._write_event("start", nodes=len(self._peer_config.peers))
        self._open_socket(first=True)
        self._handle_event(api.Start(self._saved_claims))
        if self._collector is not None:
            self._collector.start()

    def _open_socket(self, first: bool = False) -> None:
        """Binds the socket and then opens the shared state. Tries again later if the address is in use."""
        self._bind_timer = None
        try:
            self._socket = self._system.open_datagram_socket(
                self._peer_config.listen, self._on_datagram, wire.MAX_DATAGRAM_BYTES
            )
        except OSError as error:
            if first:
                log.warning("peer_listen can't be used yet: %s", error.strerror)
            self._bind_timer = self._loop.call_later(BIND_RETRY_INTERVAL_S, self._open_socket)
            return
        if self.sharing is not None:
            # Only one process can bind the address, so the one that binds it holds the node's escrow.
            loans_expire_at_ns = (
                loan_expiry.take(self._loan_expiry_path)
                if self._loan_expiry_path is not None and not self._was_opened
                else None
            )
            self._was_opened = True
            self.sharing.open(
                self._peer_config.own_number,
                self.core.own_claim.generation,
                len(self._peer_config.peers),
                loans_expire_at_ns,
                self._stored_token(),
            )
            self._schedule_wake()

    def update_specs(self, budgets: Sequence[BudgetSpec]) -> None:
        """Replaces the budgets after a change of the service file."""
        if self.sharing is not None:
            self.sharing.update_specs(budgets)
            self._schedule_wake()

    def fleet_tokens(self, name: str) -> TokenBudget:
        """A budget of the fleet, for a route. Raises KeyError if the tier shares no state."""
        if self.sharing is None:
            raise KeyError(name)
        return self.sharing.fleet_tokens(name)

    def shares_budgets(self) -> bool:
        """Whether the nodes of this tier can share budgets."""
        return self.sharing is not None

    def node_count(self) -> int:
        """Number of nodes that the platform lists, this node included."""
        return len(self._peer_config.peers)

    def _sharing_peers(self) -> list[int]:
        """Numbers of the live nodes that support shared state, without this node."""
        return [
            number
            for number, claim in self.core.live_claims().items()
            if claim.traits.supports & wire.SUPPORTS_SHARED
        ]

    def _live_nodes(self) -> dict[int, tuple[int, int]]:
        """Generation and zone, by number, of the live nodes that support shared state, this node included."""
        claims = self.core.live_claims().items()
        return {self._peer_config.own_number: (self.core.own_claim.generation, self._peer_config.zone)} | {
            number: (claim.generation, claim.traits.zone)
            for number, claim in claims
            if claim.traits.supports & wire.SUPPORTS_SHARED
        }

    def _is_reliable(self) -> bool:
        """Whether this node's evidence on servers can be trusted."""
        return not self.core.is_isolated() and self.core.health.score < DEGRADED_HEALTH_SCORE

    def _zones_by_node(self) -> dict[int, int]:
        """The zones of the live nodes by number, this node included."""
        claims = self.core.live_claims().items()
        return {self._peer_config.own_number: self._peer_config.zone} | {
            number: claim.traits.zone for number, claim in claims
        }

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        """Returns the decision module, wrapped if evidence on servers is shared."""
        return module if self.sharing is None else self.sharing.wrap_module(module)

    def _send_items(self, recipient: int, items: bytes) -> None:
        self._handle_event(api.SendPayload(recipient, items))

    def reload(self, config: Config) -> None:
        """Applies the platform's settings on peers after a change."""
        try:
            peers = peer_config.read(config)
        except peer_config.PeerConfigError as error:
            log.error("the new peers are not used: %s", error)
            return
        previous, self._peer_config = self._peer_config, peers
        if peers == previous:
            return
        moved = frozenset(
            number for number, address in enumerate(peers.peers)
            if number < len(previous.peers) and previous.peers[number] != address
        )  # fmt: skip
        self._numbers_by_address = {address: number for number, address in enumerate(peers.peers)}
        log.info("the tier has %d nodes, and this is number %d", len(peers.peers), peers.own_number)
        if peers.listen != previous.listen:
            self._close_socket()
            self._open_socket(first=True)
        self._handle_event(api.PeersChanged(len(peers.peers), peers.own_number, moved))
        if self.sharing is not None and self._socket is not None:
            self.sharing.open(
                peers.own_number,
                self.core.own_claim.generation,
                len(peers.peers),
                stored_token=self._stored_token(),
            )
        self._write_event("moved", number=peers.own_number, nodes=len(peers.peers))

    def leave(self) -> None:
        """Announces a planned shutdown. Until `close`, other nodes are still answered."""
        if self.sharing is not None:
            self.sharing.leave()
        self._handle_event(api.Leave())

    async def close(self) -> None:
        """Stops and writes the files that outlive the process."""
        for timer in (self._wake_timer, self._save_timer, self._drop_log_timer):
            if timer is not None:
                timer.cancel()
        if self._collector is not None:
            await self._collector.close()
        loans_expire_at_ns = None if self.sharing is None else self.sharing.core.lent_until()
        self._close_socket()
        if self._loan_expiry_path is not None and loans_expire_at_ns is not None:
            path, expires_at_ns = self._loan_expiry_path, loans_expire_at_ns
            await self._system.run_blocking(lambda: loan_expiry.write(path, expires_at_ns))
        for task in list(self._write_tasks):
            await task
        if self._member_list_path is not None:
            await self._save_member_list()
        self._write_event("end")
        if self._history is not None:
            self._history.close()

    def _close_socket(self) -> None:
        """Closes the socket and the shared state, which other processes may hold from now on."""
        if self._bind_timer is not None:
            self._bind_timer.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        if self.sharing is not None:
            self.sharing.close()

    # Events and actions of the core.

    def _handle_event(self, event: api.Event) -> None:
        """Passes an event to the membership core and carries out its actions."""
        for action in self.core.handle(self._system.monotonic_ns(), event):
            match action:
                case api.Send(message):
                    self._send_message(message)
                case api.StateChanged(claim, reason, announced):
                    if claim.number == self._peer_config.own_number and self.sharing is not None:
                        self.sharing.set_generation(claim.generation)
                    if claim.number != self._peer_config.own_number:
                        log.info("node %d is %s: %s", claim.number, claim.state.name.lower(), reason)
                    self._write_event(
                        "member", member=claim.number, state=claim.state.name.lower(),
                        incarnation=claim.incarnation, member_life=claim.generation, told=announced,
                        why=reason,
                    )  # fmt: skip
                case api.ProcessStalled(late_ns):
                    self._write_event("stood-still", late_ns=late_ns)
                case api.PayloadReceived(sender, generation, items):
                    if self.sharing is not None:
                        self.sharing.receive_items(sender, generation, items)
                case api.Superseded(generation):
                    if self.sharing is not None:
                        self.sharing.close()  # the other process holds this node's escrow
                    log.error(
                        "another process is node %d; this one is out of the tier",
                        self._peer_config.own_number,
                    )
                    self._write_event("superseded", by_life=generation)
        self._schedule_wake()

    def _write_event(self, event: str, **fields: Any) -> None:
        if self._history is not None:
            now = self._system.monotonic_ns()
            self._history.write(
                now, self._peer_config.own_number, self.core.own_claim.generation, event, **fields
            )

    def _schedule_wake(self) -> None:
        wake_at_ns = self.core.wake_at
        if self.sharing is not None:
            wake_at_ns = min(wake_at_ns, self.sharing.core.wake_at)
        if self._wake_timer is not None:
            if self._wake_timer_at_ns <= wake_at_ns:
                return  # the timer fires early and then schedules the next wake-up
            self._wake_timer.cancel()
            self._wake_timer = None
        if wake_at_ns < NEVER:
            delay_s = max(0, wake_at_ns - self._system.monotonic_ns()) / 1e9
            self._wake_timer_at_ns = wake_at_ns
            self._wake_timer = self._loop.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._wake_timer = None
        if self.sharing is not None:
            self.sharing.wake()
        if self._system.monotonic_ns() < self.core.wake_at:
            self._schedule_wake()
        else:
            self._handle_event(api.Wake())

    # Datagrams.

    def _send_message(self, message: api.Message) -> None:
        if self._socket is not None and message.recipient < len(self._peer_config.peers):
            data = self._codec.encode(message)
            self._bytes_out += len(data)
            self._socket.send(data, self._peer_config.peers[message.recipient])

    def _on_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        number = self._numbers_by_address.get(source)
        if number is None:
            self._drop_datagram("unknown_address")
            return
        try:
            message = self._codec.decode(data)
        except InvalidDatagram as error:
            self._drop_datagram(str(error))
            return
        if message.sender_claim.number != number:
            self._drop_datagram("other_address")  # the sender has another list of peers, or is forged
            return
        self._bytes_in += len(data)
        self._datagrams_in += 1
        self._handle_event(api.Received(message))

    def _drop_datagram(self, reason: str) -> None:
        """Counts a dropped datagram. The counts are logged once a minute at most."""
        self._dropped_since_log[reason] += 1
        self._dropped[reason] += 1
        if self._drop_log_timer is None:
            self._drop_log_timer = self._loop.call_later(0.0, self._log_dropped)

    def _log_dropped(self) -> None:
        if not self._dropped_since_log:
            self._drop_log_timer = None
            return
        counts = ", ".join(f"{reason} {number}" for reason, number in sorted(self._dropped_since_log.items()))
        log.warning("datagrams thrown away: %s", counts)
        self._dropped_since_log.clear()
        self._drop_log_timer = self._loop.call_later(DROP_LOG_INTERVAL_S, self._log_dropped)

    # The saved member list.

    def _save_periodically(self) -> None:
        task = self._loop.create_task(self._save_member_list())
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)
        self._save_timer = self._loop.call_later(MEMBER_LIST_SAVE_INTERVAL_S, self._save_periodically)

    async def _save_member_list(self) -> None:
        path, claims = self._member_list_path, self.core.all_claims()
        assert path is not None
        try:
            await self._system.run_blocking(lambda: member_list.write(path, claims))
        except OSError as error:
            log.warning("cannot save the member list: %s", error.strerror)

    # The token on disk.

    def _stored_token(self) -> int | None:
        """Returns None without a folder, or if the file is unreadable. The floor of tokens then follows from
        the generation."""
        if self._token_path is None:
            return None
        if self._token_file is None:
            from driftstair.tier.tokens import TokenFile, TokenFileError

            try:
                self._token_file = TokenFile(self._token_path)
            except (TokenFileError, OSError) as error:
                reason = error.strerror if isinstance(error, OSError) else error
                log.warning("%s is not used: %s", self._token_path.name, reason)
                return None
        return self._token_file.token

    def _persist_token(self, token: int) -> None:
        task = self._loop.create_task(self._write_token(token))
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)

    async def _write_token(self, token: int) -> None:
        token_file, sharing = self._token_file, self.sharing
        assert token_file is not None and sharing is not None
        try:
            await self._system.run_blocking(lambda: token_file.write(token))
        except OSError as error:
            if not self._token_write_failed:
                log.error("this member of the council promises nothing: %s", error.strerror)
            self._token_write_failed = True
            sharing.persist_failed()
        else:
            self._token_write_failed = False
            sharing.token_persisted(token)
        self._schedule_wake()

    # The report for operators.

    def report(self, servers: Iterable[str] = ()) -> dict[str, Any]:
        """The state as JSON, in the format `driftstair.tier/1`. Times are in s. `servers`: names of the
        servers on the list."""
        core, socket = self.core, self._socket
        own_claim = core.own_claim
        return {
            "format": FORMAT,
            "node": {
                "number": own_claim.number, "life": own_claim.generation,
                "incarnation": own_claim.incarnation, "state": own_claim.state.name.lower(),
                "zone": own_claim.traits.zone, "health": core.health.score,
                "alone": core.is_isolated(), "superseded": core.superseded,
            },
            "members": [
                {
                    "number": member.number, "state": _state_name(member.state), "life": member.generation,
                    "incarnation": member.incarnation, "zone": member.zone, "version": member.version,
                    "supports": member.supports, "held_s": _seconds(member.state_age_ns),
                    "heard_s": _seconds(member.heard_age_ns),
                    "round_trip_s": round(member.round_trip_ns / 1e9, 6) if member.round_trip_ns else None,
                    "suspected_by": list(member.suspected_by), "dead_in_s": _seconds(member.dead_in_ns),
                    "unheard": member.presumed_dead,
                }
                for member in core.member_views(self._system.monotonic_ns())
            ],
            "counts": {
                **core.counts, "in": self._datagrams_in, "bytes_in": self._bytes_in,
                "bytes_out": self._bytes_out, "unsent": socket.send_errors if socket else 0,
                "broken": socket.receive_errors if socket else 0, "bound": int(socket is not None),
                **{f"thrown_{reason}": number for reason, number in sorted(self._dropped.items())},
            },
            **({} if self.sharing is None else {"shared": self.sharing.report(servers)}),
        }  # fmt: skip


def _state_name(state: State | None) -> str:
    return "unknown" if state is None else state.name.lower()


def _seconds(ns: int) -> float | None:
    return None if ns < 0 else round(ns / 1e9, 3)
