"""One node's part in the tier's membership: a deterministic state machine without clock, socket or randomness
of its own.

`handle(now_ns, event)` returns the actions to perform; `wake_at` is when it is next to be woken. Times are on
the monotonic clock, in ns. It implements SWIM's direct and indirect probes, suspicion and refutation, and
Lifeguard's three corrections: the local health multiplier with negative acknowledgements, suspicion timeouts
that shorten with each confirmation, and notifying a suspect first. Beyond the papers:

- A node that was stalled (it is woken late) accuses nobody on account of what it missed.
- A node whose probes nobody answers accuses nobody. After a while it presumes the members that it does not
  hear dead, but only locally.
- A suspect that this node still receives datagrams from is not declared dead before the longest timeout.
- A few of the nodes that learn of a suspicion probe the suspect at once, to confirm or refute it sooner.
- A node with a bad health score waits longer for answers but probes at the same rate, as it could not recover
  otherwise.
- Each node also probes its successor by number, so that every node is probed in every period.
- Members that are dead, gone or unknown are contacted in turn, so that a healed partition merges again.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftstair.tier.membership import events as api
from driftstair.tier.membership.events import Action, Kind, MemberView, Message, Send, StateChanged
from driftstair.tier.membership.health import Health
from driftstair.tier.membership.members import Claim, Member, State, Traits
from driftstair.tier.membership.probing import Probe, ProbeTracker
from driftstair.tier.membership.suspicion import MAX_TIMEOUT_FACTOR, Suspicion, min_timeout_ns
from driftstair.tier.membership.update_queue import UpdateQueue
from driftstair.tier.replay import ReplayWindow

NEVER = 1 << 62

INDIRECT_PROBES = 3  # helpers per probe that was not answered (SWIM's k)
GOSSIP_FANOUT = 3  # nodes that updates are sent to in each gossip round
GOSSIP_ROUNDS_PER_PERIOD = 5  # at most
MAX_SYNC_CLAIMS = 4  # per probe or answer, beside updates: repairs views after lost updates
SUSPECT_PROBERS = 5  # expected number of nodes that probe a suspect on learning of the suspicion
MAX_SUSPECT_PROBES_PER_PERIOD = 2
STALL_THRESHOLD_PERIODS = 0.4  # a node woken later than this was stalled
JOIN_PERIODS = 10  # after its start a node that knows no live member contacts others every gossip round
ISOLATION_PERIODS = 6  # without any answer to a probe, after which this node is isolated
MAX_RECLAIMS = 8  # times that this node takes its number back from a later process
RECLAIM_MEMORY_PERIODS = 60  # without such a conflict, after which the count restarts
MAX_GENERATION = (1 << 32) - 1  # range of the datagram field
MAX_INCARNATION = (1 << 16) - 1
LEAVE_FANOUT = 8  # nodes that a leave is sent to immediately


class Membership:
    """`generation`: as in Claim; `max_claims_bytes`: space for claims in one message; `claim_size`: the
    encoded length of a claim in bytes."""

    def __init__(
        self, own_number: int, count: int, generation: int, traits: Traits, period_ns: int, random: Random,
        max_claims_bytes: int, claim_size: Callable[[Claim], int],
    ) -> None:  # fmt: skip
        self.own_number = own_number
        self.own_claim = Claim(own_number, generation, 0, State.ALIVE, own_number, traits)
        self.members: dict[int, Member] = {}
        self.health = Health()
        self.wake_at = NEVER
        self.superseded = False
        self.counts = {"replayed": 0, "old_life": 0, "misdirected": 0, "pauses": 0, "probes": 0,
                       "failed_probes": 0, "refuted": 0, "out": 0}  # fmt: skip
        self._period_ns = period_ns
        self._gossip_interval_ns = period_ns // GOSSIP_ROUNDS_PER_PERIOD
        self._random = random
        self._max_claims_bytes = max_claims_bytes
        self._claim_size = claim_size
        self._updates = UpdateQueue()
        self._next_counter = 0  # of the datagrams of this process
        self._probes = ProbeTracker(period_ns, random.randrange(1 << 16))
        self._probe_round: list[int] = []  # member numbers to probe, the next one last
        self._contact_round: list[int] = []  # members to contact, likewise
        self._sync_round: list[int] = []  # members whose claims are sent for repair, likewise
        self._next_period_ns = NEVER
        self._successor_probe_ns = NEVER
        self._next_gossip_ns = NEVER
        self._last_gossip_ns = -period_ns
        self._suspect_probes = 0  # sent in this period
        self._last_ack_ns = 0
        self._join_until_ns = 0
        self._isolated = False
        self._isolated_since_ns = 0
        self._reclaims = 0  # times that a later process has claimed this node's number
        self._last_reclaim_ns = 0
        self._leaving = False
        self._started = False
        self._actions: list[Action] = []
        self._suspects: set[int] = set()
        self._live_count = 0  # other members that are alive or suspect
        self._live_others_cache: list[int] | None = None  # their numbers, computed on demand
        self._resize(count)

    # Queries.

    def live_numbers(self) -> list[int]:
        """Sorted numbers of the members that are alive or suspect, this node included."""
        return sorted(
            [self.own_number, *(member.number for member in self.members.values() if member.is_live())]
        )

    def live_claims(self) -> dict[int, Claim]:
        """Claims on other members that are alive or suspect and not presumed dead, by number."""
        claims = {}
        for number in self.live_numbers():
            member = self.members.get(number)
            if member is not None and member.claim is not None and not member.presumed_dead:
                claims[number] = member.claim
        return claims

    def is_isolated(self) -> bool:
        """Whether no probe has been answered for so long that this node considers itself cut off."""
        return self._isolated

    def is_leaving(self) -> bool:
        return self._leaving

    def member_views(self, now_ns: int) -> list[MemberView]:
        views = []
        for member in self.members.values():
            claim = member.claim or Claim(member.number, 0, 0, State.ALIVE, member.number)
            suspicion = member.suspicion
            views.append(MemberView(
                member.number, member.state, claim.generation, claim.incarnation, *claim.traits,
                now_ns - member.since_ns, now_ns - member.heard_at_ns if member.heard_at_ns >= 0 else -1,
                member.round_trip_ns,
                tuple(sorted(suspicion.reporters)) if suspicion else (),
                max(0, suspicion.deadline_ns() - now_ns) if suspicion else -1, member.presumed_dead,
            ))  # fmt: skip
        return views

    def all_claims(self) -> tuple[Claim, ...]:
        """Claims on all known members, this node first, to be persisted."""
        return (
            self.own_claim,
            *(member.claim for member in self.members.values() if member.claim is not None),
        )

    # Events.

    def handle(self, now_ns: int, event: api.Event) -> list[Action]:
        self._actions = []
        if self.superseded:
            return []
        if self._started and not isinstance(event, api.Start):
            self._check_stall(now_ns)
        match event:
            case api.Received(message):
                self._receive(now_ns, message)
            case api.Wake():
                pass
            case api.Start(saved_claims):
                self._start(now_ns, saved_claims)
            case api.Leave():
                self._leave(now_ns)
            case api.SendPayload(recipient, payload):
                if recipient in self.members:
                    self._send(Kind.SHARED, recipient, payload=payload)
            case api.PeersChanged(count, own_number, moved):
                self._change_peers(now_ns, count, own_number, moved)
        if self._started and not self.superseded:
            self._run_due(now_ns)
            self._update_wake_at(now_ns)
        actions, self._actions = self._actions, []
        return actions

    def _start(self, now_ns: int, saved_claims: tuple[Claim, ...]) -> None:
        self._started = True
        self._last_ack_ns = now_ns
        self._join_until_ns = now_ns + JOIN_PERIODS * self._period_ns
        self._next_period_ns = now_ns
        self._report_change(self.own_claim, "starts")
        for claim in saved_claims:
            if claim.number == self.own_number:
                if claim.generation >= self.own_claim.generation:
                    self._begin_new_generation(claim.generation + 1)
            elif claim.number in self.members:
                self._merge(now_ns, claim, "kept", disseminate=False)
        self._updates.add(self.own_claim)
        self._next_gossip_ns = now_ns

    def _leave(self, now_ns: int) -> None:
        if self._leaving:
            return
        self._leaving = True
        self.own_claim = self.own_claim._replace(incarnation=self.own_claim.incarnation + 1, state=State.LEFT)
        self._probes.clear()
        self._report_change(self.own_claim, "leaves")
        self._updates.add(self.own_claim)
        for number in self._sample_live(LEAVE_FANOUT, ()):
            self._send(Kind.NEWS, number)
        self._next_gossip_ns = now_ns + self._gossip_interval_ns

    def _change_peers(self, now_ns: int, count: int, own_number: int, moved: frozenset[int]) -> None:
        """A moved number stands for a new member. If its own number has changed, this process joins the tier
        anew; the other nodes hold its old number dead until that number's new machine announces itself."""
        for number in moved:
            self._drop(number)
        if own_number != self.own_number:
            self._drop(own_number)
            old_number, self.own_number = self.own_number, own_number
            self._probes.discard(old_number)
            self.own_claim = self.own_claim._replace(number=own_number, reporter=own_number)
            self._begin_new_generation(self.own_claim.generation + 1)
        self._resize(count)
        self._updates.add(self.own_claim)
        self._next_gossip_ns = now_ns

    def _drop(self, number: int) -> None:
        self.members.pop(number, None)
        self._suspects.discard(number)
        self._updates.remove(number)
        self._probes.discard(number)

    def _resize(self, count: int) -> None:
        for number in [number for number in self.members if number >= count]:
            self._drop(number)
        for number in range(count):
            if number != self.own_number and number not in self.members:
                self.members[number] = Member(number)
        self._probe_round.clear()
        self._contact_round.clear()
        self._sync_round.clear()
        self._recount_live()

    def _live_others(self) -> list[int]:
        if self._live_others_cache is None:
            self._live_others_cache = [member.number for member in self.members.values() if member.is_live()]
        return self._live_others_cache

    def _recount_live(self) -> None:
        self._live_count = sum(member.is_live() for member in self.members.values())
        self._live_others_cache = None

    # Stalls and isolation.

    def _check_stall(self, now_ns: int) -> None:
        """Discards probes and restarts suspicions after a stall: a process that was stopped has missed
        answers and refutations, so its verdicts on others would be wrong."""
        late_ns = now_ns - self.wake_at
        if late_ns <= int(STALL_THRESHOLD_PERIODS * self._period_ns):
            return
        self.counts["pauses"] += 1
        self._actions.append(api.ProcessStalled(late_ns))
        self.health.record_failure(2)
        self._probes.clear()
        for number in self._suspects:
            suspicion = self.members[number].suspicion
            assert suspicion is not None
            suspicion.restart(now_ns)
        self._last_ack_ns = now_ns
        if not self._leaving:
            self._next_period_ns = now_ns
        if self._next_gossip_ns < now_ns:
            self._next_gossip_ns = now_ns

    def _can_judge(self, now_ns: int) -> bool:
        """Whether a probe was answered recently; otherwise the fault may be at this node, which accuses
        nobody. Received datagrams alone prove little, as the others may not receive this node's."""
        return not self._isolated and now_ns - self._last_ack_ns <= self._period_ns

    def _check_isolation(self, now_ns: int) -> None:
        silent_ns = now_ns - self._last_ack_ns
        if not self._isolated and silent_ns > ISOLATION_PERIODS * self._period_ns:
            self._isolated = True
            self._isolated_since_ns = now_ns
        if self._isolated and now_ns >= self._isolated_since_ns + self._isolation_grace_ns():
            for member in self.members.values():
                if (
                    member.is_live()
                    and not member.presumed_dead
                    and member.heard_at_ns < self._isolated_since_ns
                ):
                    assert member.claim is not None
                    member.presumed_dead = True
                    member.since_ns = now_ns
                    presumed = member.claim._replace(state=State.DEAD, reporter=self.own_number)
                    self._actions.append(StateChanged(presumed, "nobody answers", announced=False))

    def _isolation_grace_ns(self) -> int:
        """How long an isolated node waits before it presumes the others dead."""
        return MAX_TIMEOUT_FACTOR * min_timeout_ns(
            self._period_ns,
            self._gossip_interval_ns,
            GOSSIP_FANOUT,
            self._live_count,
            self._probes.round_trip_ns,
        )

    def _record_contact(self, now_ns: int) -> None:
        """A probe has been answered."""
        self._last_ack_ns = now_ns
        if not self._isolated:
            return
        self._isolated = False
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.restart(now_ns)
            if member.presumed_dead:
                self._restore(now_ns, member)

    def _restore(self, now_ns: int, member: Member) -> None:
        assert member.claim is not None
        member.presumed_dead = False
        member.since_ns = now_ns
        self._report_change(member.claim, "others are there again")

    # Timers.

    def _run_due(self, now_ns: int) -> None:
        for probe in self._probes.take_expired(now_ns):
            self._handle_probe_failure(now_ns, probe)
        for probe in self._probes.due_for_indirect(now_ns):
            self._probe_indirectly(probe)
        for relayed in self._probes.take_due_nacks(now_ns, self.health.timeout_multiplier()):
            self._send(Kind.NACK, relayed.requester, relayed.requester_seq, relayed.target)
        if self._next_period_ns <= now_ns:
            self._begin_period(now_ns)
        if self._successor_probe_ns <= now_ns:
            self._probe_successor(now_ns)
        self._check_isolation(now_ns)
        if self._can_judge(now_ns):
            for number in list(self._suspects):
                self._check_suspicion(now_ns, self.members[number])
        if self._next_gossip_ns <= now_ns:
            self._gossip(now_ns)

    def _update_wake_at(self, now_ns: int) -> None:
        times = [self._next_period_ns, self._successor_probe_ns, self._next_gossip_ns]
        times += self._probes.deadlines_ns()
        if self._isolated:
            times.append(max(self._isolated_since_ns + self._isolation_grace_ns(), self._next_period_ns))
        else:
            for number in self._suspects:
                suspicion = self.members[number].suspicion
                assert suspicion is not None
                # Overdue suspicions wait until this node can accuse again.
                times.append(
                    max(
                        suspicion.deadline_ns(),
                        now_ns + self._gossip_interval_ns if not self._can_judge(now_ns) else 0,
                    )
                )
        self.wake_at = min(times)

    def _begin_period(self, now_ns: int) -> None:
        if self._leaving:
            self._next_period_ns = NEVER
            return
        self._next_period_ns = now_ns + self._period_ns
        self._suspect_probes = 0
        if self._reclaims and now_ns - self._last_reclaim_ns > RECLAIM_MEMORY_PERIODS * self._period_ns:
            self._reclaims = 0
        self._successor_probe_ns = now_ns + self._period_ns // 2
        target = self._next_in_round(self._probe_round, lambda member: member.is_live())
        if target is not None:
            self._probe(now_ns, target)
        contact = self._next_in_round(self._contact_round, lambda member: not member.is_live())
        if contact is not None:
            self._send(Kind.PING, contact, self._probes.next_seq())

    def _probe_successor(self, now_ns: int) -> None:
        """Probes the live member with the next higher number, so that every node is probed in every period.
        With random targets alone, a node stays unprobed for five periods in 1 % of cases."""
        self._successor_probe_ns = NEVER
        if self._leaving or self._live_count < 2:
            return
        others = self._live_others()
        after = [number for number in others if number > self.own_number]
        target = min(after or others)
        if not self._probes.is_probing(target):
            self._probe(now_ns, target)

    def _contact_several(self) -> None:
        for number in self._random.sample(sorted(self.members), min(GOSSIP_FANOUT, len(self.members))):
            self._send(Kind.PING, number, self._probes.next_seq())

    def _next_in_round(self, order: list[int], predicate: Callable[[Member], bool]) -> int | None:
        """The next matching member of a shuffled round, which visits each once and is then reshuffled."""
        for _ in range(2):
            while order:
                number = order.pop()
                if number in self.members and predicate(self.members[number]):
                    return number
            order.extend(number for number, member in self.members.items() if predicate(member))
            self._random.shuffle(order)
        return None

    # Probes.

    def _probe(self, now_ns: int, target: int) -> None:
        self.counts["probes"] += 1
        self._send(Kind.PING, target, self._probes.begin(now_ns, target, self.health.timeout_multiplier()))

    def _probe_indirectly(self, probe: Probe) -> None:
        probe.indirect_sent = True
        self._send(Kind.PING, probe.target, probe.seq)  # again, as the first datagram may be lost
        helpers = self._sample_live(INDIRECT_PROBES, (probe.target,))
        probe.silent_helpers = len(helpers)
        for helper in helpers:
            self._send(Kind.PING_REQ, helper, probe.seq, probe.target)

    def _handle_probe_failure(self, now_ns: int, probe: Probe) -> None:
        member = self.members[probe.target]
        self.counts["failed_probes"] += 1
        # Helpers that sent not even a NACK suggest that the fault is at this node.
        self.health.record_failure(min(1, probe.silent_helpers) if probe.indirect_sent else 1)
        if (
            member.heard_at_ns >= probe.sent_at_ns
            or not member.is_live()
            or member.claim is None
            or not self._can_judge(now_ns)
        ):
            return
        claim = member.claim
        self._merge(
            now_ns,
            claim._replace(state=State.SUSPECT, reporter=self.own_number),
            "it did not answer",
            disseminate=True,
        )

    def _handle_ack(self, now_ns: int, message: Message) -> None:
        subject = message.sender_claim.number if message.subject == api.NO_NODE else message.subject
        is_direct = message.sender_claim.number == subject
        result = self._probes.record_ack(now_ns, message.seq, subject, is_direct)
        if result is None:
            return
        probe, in_time = result
        self._record_contact(now_ns)
        target = self.members[subject]
        if is_direct:
            target.round_trip_ns = now_ns - probe.sent_at_ns
        else:
            target.heard_at_ns = max(target.heard_at_ns, probe.sent_at_ns)
        if in_time:
            self.health.record_success()

    # Datagrams.

    def _receive(self, now_ns: int, message: Message) -> None:
        number = message.sender_claim.number
        member = self.members.get(number)
        if message.recipient != self.own_number or member is None:
            self.counts["misdirected"] += 1
            return
        current = member.claim
        if current is not None and message.sender_claim.generation < current.generation:
            # A newer process has taken the sender's number: the ACK tells it so, and its claims are ignored.
            self.counts["old_life"] += 1
            if message.kind is Kind.PING:
                self._send(Kind.ACK, number, message.seq)
            return
        if message.sender_claim.generation > member.replay_window_generation:
            member.replay_window, member.replay_window_generation = (
                ReplayWindow(),
                message.sender_claim.generation,
            )
        if not member.replay_window.accept(message.counter):
            self.counts["replayed"] += 1
            return
        self._merge(now_ns, message.sender_claim, "it says so", disseminate=True)
        if self.superseded:
            return
        member.heard_at_ns = now_ns
        if member.presumed_dead:
            self._restore(now_ns, member)
        for claim in message.updates:
            self._apply_update(now_ns, claim, number)
            if self.superseded:
                return
        match message.kind:
            case Kind.PING:
                self._send(Kind.ACK, number, message.seq)
            case Kind.ACK:
                self._handle_ack(now_ns, message)
                relayed = self._probes.relayed.get(message.seq)
                if relayed is not None and relayed.target == number:
                    del self._probes.relayed[message.seq]
                    self._send(Kind.ACK, relayed.requester, relayed.requester_seq, number)
            case Kind.NACK:
                self._probes.record_nack(message.seq)
            case Kind.PING_REQ:
                self._relay_probe(now_ns, message)
            case Kind.SHARED:
                self._actions.append(
                    api.PayloadReceived(number, message.sender_claim.generation, message.payload)
                )
            case Kind.NEWS:
                pass

    def _relay_probe(self, now_ns: int, message: Message) -> None:
        if message.subject not in self.members or message.subject == message.sender_claim.number:
            return
        seq = self._probes.begin_relayed(now_ns, message.subject, message.sender_claim.number, message.seq)
        self._send(Kind.PING, message.subject, seq)

    def _apply_update(self, now_ns: int, claim: Claim, sender: int) -> None:
        if claim.number == self.own_number:
            self._refute(now_ns, claim)
        elif claim.number in self.members:
            self._merge(now_ns, claim, f"{sender} says so", disseminate=True)

    # Claims.

    def _refute(self, now_ns: int, claim: Claim) -> None:
        """Handles a claim on this node itself: a wrong one is refuted."""
        if claim.generation < self.own_claim.generation:
            return
        is_ahead = (
            claim.generation > self.own_claim.generation or claim.incarnation > self.own_claim.incarnation
        )
        if is_ahead or claim.incarnation >= MAX_INCARNATION:
            # The claim is on an earlier process of this node whose clock was ahead, or on a rival process. An
            # earlier one can't respond, so repeated claims come from a rival. The later process wins.
            self._reclaims += 1
            self._last_reclaim_ns = now_ns
            if self._reclaims > MAX_RECLAIMS or claim.generation >= MAX_GENERATION:
                self.superseded = True
                self.wake_at = NEVER
                self._actions.append(api.Superseded(claim.generation))
                return
            self._begin_new_generation(claim.generation + 1)
        elif claim.rank() > self.own_claim.rank():
            self.counts["refuted"] += 1
            self.health.record_failure()
            self.own_claim = self.own_claim._replace(incarnation=claim.incarnation + 1)
            self._report_change(self.own_claim, f"{claim.reporter} held it {claim.state.name.lower()}")
        else:
            return
        self._updates.add(self.own_claim)
        self._next_gossip_ns = min(self._next_gossip_ns, now_ns)

    def _begin_new_generation(self, generation: int) -> None:
        state = State.LEFT if self._leaving else State.ALIVE
        self.own_claim = self.own_claim._replace(generation=generation, incarnation=0, state=state)
        self._next_counter = 0
        self._report_change(self.own_claim, "its number was claimed by another life")

    def _merge(self, now_ns: int, claim: Claim, reason: str, disseminate: bool) -> None:
        """Merges a claim on another member."""
        member = self.members[claim.number]
        current = member.claim
        if current is not None and claim.rank() <= current.rank():
            if claim.rank() == current.rank() and claim.state is State.SUSPECT:
                self._confirm_suspicion(now_ns, member, claim)
            return
        new_generation = current is None or claim.generation > current.generation
        was_live = member.is_live()
        previous_state = member.state
        member.claim = claim
        if new_generation:
            member.heard_at_ns = -1
            member.round_trip_ns = 0
            self._probes.discard(claim.number)
        if claim.state is State.SUSPECT:
            if member.suspicion is None or (current is not None and current.rank()[:2] != claim.rank()[:2]):
                self._start_suspicion(now_ns, member, claim)
        else:
            member.suspicion = None
            member.presumed_dead = False
            self._suspects.discard(claim.number)
        if member.is_live() is not was_live:
            self._live_count += 1 if member.is_live() else -1
            self._live_others_cache = None
        if previous_state is not member.state or new_generation:
            member.since_ns = now_ns
        self._report_change(claim, reason)
        if disseminate:
            self._disseminate(now_ns, claim)

    def _disseminate(self, now_ns: int, claim: Claim) -> None:
        self._updates.add(claim)
        self._next_gossip_ns = min(
            self._next_gossip_ns, max(now_ns, self._last_gossip_ns + self._gossip_interval_ns)
        )

    def _start_suspicion(self, now_ns: int, member: Member, claim: Claim) -> None:
        min_timeout = min_timeout_ns(
            self._period_ns,
            self._gossip_interval_ns,
            GOSSIP_FANOUT,
            self._live_count,
            self._probes.round_trip_ns,
        )
        member.suspicion = Suspicion(now_ns, claim.reporter, min_timeout, self._live_count - 1)
        member.presumed_dead = False
        self._suspects.add(claim.number)
        self._probe_suspect(now_ns, claim)

    def _probe_suspect(self, now_ns: int, claim: Claim) -> None:
        """Probes a suspect at once, with a probability that makes about SUSPECT_PROBERS nodes do so."""
        if (
            claim.reporter == self.own_number
            or self._leaving
            or self._suspect_probes >= MAX_SUSPECT_PROBES_PER_PERIOD
        ):
            return
        if self._random.random() * max(1, self._live_count) < SUSPECT_PROBERS:
            self._suspect_probes += 1
            self._probe(now_ns, claim.number)

    def _confirm_suspicion(self, now_ns: int, member: Member, claim: Claim) -> None:
        if member.suspicion is not None and member.suspicion.confirm(claim.reporter):
            self._disseminate(now_ns, claim)

    def _check_suspicion(self, now_ns: int, member: Member) -> None:
        """Declares a suspect dead once its timeout has expired."""
        suspicion = member.suspicion
        assert suspicion is not None and member.claim is not None
        if suspicion.deadline_ns() > now_ns:
            return
        if member.heard_at_ns > suspicion.since_ns and suspicion.extend(member.heard_at_ns):
            return  # datagrams still arrive from it, so only its answers are lost
        dead = member.claim._replace(state=State.DEAD, reporter=self.own_number)
        self._merge(now_ns, dead, "its time was over", disseminate=True)

    def _report_change(self, claim: Claim, reason: str) -> None:
        self._actions.append(StateChanged(claim, reason))

    # Dissemination.

    def _sample_live(self, max_count: int, excluded: tuple[int, ...]) -> list[int]:
        others = self._live_others()
        sampled = self._random.sample(others, min(max_count + len(excluded), len(others)))
        return [number for number in sampled if number not in excluded][:max_count]

    def _gossip(self, now_ns: int) -> None:
        self._last_gossip_ns = now_ns
        if not self._live_count:
            if now_ns < self._join_until_ns and not self._leaving:
                self._contact_several()
                self._next_gossip_ns = now_ns + self._gossip_interval_ns
            else:
                self._next_gossip_ns = NEVER
            return
        for number in self._sample_live(GOSSIP_FANOUT, ()):
            if self._updates:
                self._send(Kind.NEWS, number)
        self._next_gossip_ns = now_ns + self._gossip_interval_ns if self._updates else NEVER

    def _send(
        self, kind: Kind, recipient: int, seq: int = 0, subject: int = api.NO_NODE, payload: bytes = b""
    ) -> None:
        """Sends a message with the claims most relevant to its recipient: on the recipient itself, on the
        subject, queued updates, and then claims for repair."""
        claims: list[Claim] = []
        bytes_left = self._max_claims_bytes
        if payload:
            self._emit(Message(kind, self.own_claim, recipient, self._next_counter, payload=payload))
            return
        for number in (recipient, subject):
            claim = self.members[number].claim if number in self.members else None
            if claim is not None:
                bytes_left -= self._claim_size(claim)
                claims.append(claim)
        updates, bytes_left = self._updates.take(
            bytes_left, self._claim_size, self._live_count, (recipient, subject, self.own_number)
        )
        claims += updates
        if kind is not Kind.NEWS:
            claims += self._next_sync_claims(bytes_left, {claim.number for claim in claims})
        self._emit(Message(kind, self.own_claim, recipient, self._next_counter, seq, subject, tuple(claims)))

    def _emit(self, message: Message) -> None:
        self._next_counter += 1
        self.counts["out"] += 1
        self._actions.append(Send(message))

    def _next_sync_claims(self, bytes_left: int, included: set[int]) -> list[Claim]:
        selected: list[Claim] = []
        for _ in range(min(MAX_SYNC_CLAIMS, len(self.members))):
            if not self._sync_round:
                self._sync_round = list(self.members)
                self._random.shuffle(self._sync_round)
            number = self._sync_round.pop()
            claim = self.members[number].claim
            if claim is None or number in included:
                continue
            bytes_left -= self._claim_size(claim)
            if bytes_left < 0:
                break
            selected.append(claim)
        return selected
