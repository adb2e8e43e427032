"""Outstanding probes, probes relayed for other nodes, and probe timeouts."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_MS = 1_000_000
MAX_RELAYED_PROBES = 64
MAX_EXPIRED_PROBES = 32
MIN_TIMEOUT_MARGIN_NS = 50 * NS_PER_MS  # over the round trip: answers faster than this are never late
MIN_TIMEOUT_DIVISOR = 4  # the shortest timeout is the period divided by this
MAX_TIMEOUT_PERIODS = 2  # the longest timeout, before the health multiplier
TIMEOUTS_PER_PROBE = 3  # until a verdict: the direct probe, the indirect ones, and transit
NACK_FRACTION = 0.8  # of the timeout, after which a relaying node reports that it has no answer either


@dataclass(slots=True)
class Probe:
    """An outstanding probe. `silent_helpers`: nodes asked to relay it that have not replied yet."""

    target: int
    seq: int
    sent_at_ns: int
    indirect_at_ns: int
    deadline_ns: int
    indirect_sent: bool = False
    silent_helpers: int = 0


@dataclass(slots=True)
class RelayedProbe:
    """A probe on behalf of another node."""

    target: int
    requester: int
    requester_seq: int
    due_ns: int  # when the requester is sent a negative acknowledgement, and then when this is dropped
    nack_sent: bool = False


class ProbeTracker:
    """Direct and relayed probes share this node's own sequence numbers."""

    def __init__(self, period_ns: int, first_seq: int) -> None:
        self.relayed: dict[int, RelayedProbe] = {}
        self.round_trip_ns = 0  # smoothed, with its mean deviation (RFC 6298)
        self._round_trip_deviation_ns = 0
        self._period_ns = period_ns
        self._seq = first_seq
        self._pending: dict[int, Probe] = {}
        self._expired: dict[int, Probe] = {}  # the latest ones, as an answer may still arrive

    def next_seq(self) -> int:
        self._seq = (self._seq + 1) % (1 << 32)
        return self._seq

    def timeout_ns(self) -> int:
        measured_ns = (
            self.round_trip_ns + max(4 * self._round_trip_deviation_ns, MIN_TIMEOUT_MARGIN_NS)
            if self.round_trip_ns
            else 0
        )
        return min(
            max(measured_ns, self._period_ns // MIN_TIMEOUT_DIVISOR), MAX_TIMEOUT_PERIODS * self._period_ns
        )

    def begin(self, now_ns: int, target: int, multiplier: int) -> int:
        """Registers a probe and returns its sequence number. `multiplier`: applied to the timeout."""
        timeout_ns, seq = self.timeout_ns() * multiplier, self.next_seq()
        self._pending[seq] = Probe(
            target, seq, now_ns, now_ns + timeout_ns, now_ns + TIMEOUTS_PER_PROBE * timeout_ns
        )
        return seq

    def is_probing(self, target: int) -> bool:
        return any(probe.target == target for probe in self._pending.values())

    def take_expired(self, now_ns: int) -> list[Probe]:
        """Probes that have failed. They are remembered for a while: a late answer still yields a round
        trip."""
        expired = [probe for probe in self._pending.values() if probe.deadline_ns <= now_ns]
        for probe in expired:
            del self._pending[probe.seq]
            if len(self._expired) >= MAX_EXPIRED_PROBES:
                del self._expired[next(iter(self._expired))]
            self._expired[probe.seq] = probe
        return expired

    def due_for_indirect(self, now_ns: int) -> list[Probe]:
        """Probes for which helpers are to be asked now."""
        return [
            probe
            for probe in self._pending.values()
            if not probe.indirect_sent and probe.indirect_at_ns <= now_ns
        ]

    def record_ack(self, now_ns: int, seq: int, target: int, is_direct: bool) -> tuple[Probe, bool] | None:
        """Returns the acknowledged probe and whether the answer was in time. `is_direct`: the answer comes
        from the target itself."""
        for probes, in_time in ((self._pending, True), (self._expired, False)):
            probe = probes.get(seq)
            if probe is not None and probe.target == target:
                del probes[seq]
                if is_direct:
                    self._update_round_trip(now_ns - probe.sent_at_ns)
                return probe, in_time
        return None

    def record_nack(self, seq: int) -> None:
        """A helper has reported that it has no answer either."""
        probe = self._pending.get(seq)
        if probe is not None and probe.silent_helpers:
            probe.silent_helpers -= 1

    def _update_round_trip(self, sample_ns: int) -> None:
        if not self.round_trip_ns:
            self.round_trip_ns, self._round_trip_deviation_ns = sample_ns, sample_ns // 2
        else:
            self._round_trip_deviation_ns += (
                abs(sample_ns - self.round_trip_ns) - self._round_trip_deviation_ns
            ) // 4
            self.round_trip_ns += (sample_ns - self.round_trip_ns) // 8

    def begin_relayed(self, now_ns: int, target: int, requester: int, requester_seq: int) -> int:
        """Registers a probe for another node and returns this node's own sequence number for it."""
        if len(self.relayed) >= MAX_RELAYED_PROBES:
            del self.relayed[next(iter(self.relayed))]
        own_seq = self.next_seq()
        self.relayed[own_seq] = RelayedProbe(
            target, requester, requester_seq, now_ns + int(NACK_FRACTION * self.timeout_ns())
        )
        return own_seq

    def take_due_nacks(self, now_ns: int, multiplier: int) -> list[RelayedProbe]:
        """Relayed probes whose requesters are to be told that there is no answer. They are kept for another
        period or more, as an answer may still arrive."""
        due = [(seq, relayed) for seq, relayed in self.relayed.items() if relayed.due_ns <= now_ns]
        for seq, relayed in due:
            if relayed.nack_sent:
                del self.relayed[seq]
            relayed.due_ns = now_ns + self._period_ns * multiplier
        unanswered = [relayed for _, relayed in due if not relayed.nack_sent]
        for relayed in unanswered:
            relayed.nack_sent = True
        return unanswered

    def discard(self, number: int) -> None:
        """Drops all probes that involve a node."""
        self._pending = {seq: probe for seq, probe in self._pending.items() if probe.target != number}
        self.relayed = {
            seq: relayed
            for seq, relayed in self.relayed.items()
            if number not in (relayed.target, relayed.requester)
        }

    def clear(self) -> None:
        self._pending.clear()
        self.relayed.clear()

    def deadlines_ns(self) -> list[int]:
        """Times at which a probe or a relayed probe needs action."""
        times = [
            probe.deadline_ns if probe.indirect_sent else probe.indirect_at_ns
            for probe in self._pending.values()
        ]
        return times + [relayed.due_ns for relayed in self.relayed.values()]
