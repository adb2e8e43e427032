"""The probes that are out, those run for others, and how long to wait for an answer."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000  # ns
HELD_MOST = 64  # probes for others at once
MISSED_MOST = 32
ROUND_TRIP_LEAST = 50 * MS  # an answer that takes no longer is never late
LEAST_PART = 4  # a wait is a part of the period, one in so many, at least
MOST_TIMES = 2  # and so many periods at most, for a sound node
VERDICT = 3  # waits from a probe to its verdict: its own, the helpers', and one for the way
PASSED_BY = 0.8  # of its wait: then a helper says that it has no answer either


@dataclass(slots=True)
class Probe:
    """One that is out. `helpers`: those asked that have said nothing yet."""

    target: int
    seq: int
    sent: int
    indirect_at: int
    verdict_at: int
    asked: bool = False
    helpers: int = 0


@dataclass(slots=True)
class Errand:
    """A probe for another node."""

    target: int
    asker: int
    seq: int  # of the asker's probe
    due: int  # ns: when the asker is told that there is no answer, and then when it is forgotten
    told: bool = False


class Probing:
    """`period` in ns. Sequence numbers are this node's own, for both kinds."""

    def __init__(self, period: int, first_seq: int) -> None:
        self.errands: dict[int, Errand] = {}
        self.trip = 0  # ns: smoothed round trip, and how much it varies (RFC 6298)
        self._trip_varies = 0
        self._period = period
        self._seq = first_seq
        self._open: dict[int, Probe] = {}
        self._missed: dict[int, Probe] = {}  # the last that had no answer in time: one may come

    def new_seq(self) -> int:
        self._seq = (self._seq + 1) % (1 << 32)
        return self._seq

    def wait(self) -> int:
        """ns for an answer."""
        seen = self.trip + max(4 * self._trip_varies, ROUND_TRIP_LEAST) if self.trip else 0
        return min(max(seen, self._period // LEAST_PART), MOST_TIMES * self._period)

    def begin(self, now: int, target: int, times: int) -> int:
        """Its sequence number. `times`: how much longer than usual this node waits."""
        wait, seq = self.wait() * times, self.new_seq()
        self._open[seq] = Probe(target, seq, now, now + wait, now + VERDICT * wait)
        return seq

    def probes(self, target: int) -> bool:
        return any(probe.target == target for probe in self._open.values())

    def overdue(self, now: int) -> list[Probe]:
        """Those that have failed; an answer that comes yet is still measured."""
        found = [one for one in self._open.values() if one.verdict_at <= now]
        for probe in found:
            del self._open[probe.seq]
            if len(self._missed) >= MISSED_MOST:
                del self._missed[next(iter(self._missed))]
            self._missed[probe.seq] = probe
        return found

    def unasked(self, now: int) -> list[Probe]:
        """Those for which helpers are to be asked."""
        return [one for one in self._open.values() if not one.asked and one.indirect_at <= now]

    def answered(self, now: int, seq: int, about: int, itself: bool) -> tuple[Probe, bool] | None:
        """The probe, and whether the answer came in time. `itself`: the answer is the target's own."""
        for held, in_time in ((self._open, True), (self._missed, False)):
            probe = held.get(seq)
            if probe is not None and probe.target == about:
                del held[seq]
                if itself:
                    self._measure(now - probe.sent)
                return probe, in_time
        return None

    def no_answer(self, seq: int) -> None:
        """A helper has said that it has none."""
        probe = self._open.get(seq)
        if probe is not None and probe.helpers:
            probe.helpers -= 1

    def _measure(self, trip: int) -> None:
        if not self.trip:
            self.trip, self._trip_varies = trip, trip // 2
        else:
            self._trip_varies += (abs(trip - self.trip) - self._trip_varies) // 4
            self.trip += (trip - self.trip) // 8

    def run_errand(self, now: int, target: int, asker: int, seq: int) -> int:
        """For another; this node's own sequence number."""
        if len(self.errands) >= HELD_MOST:
            del self.errands[next(iter(self.errands))]
        own = self.new_seq()
        self.errands[own] = Errand(target, asker, seq, now + int(PASSED_BY * self.wait()))
        return own

    def no_news(self, now: int, times: int) -> list[Errand]:
        """Errands whose askers are to be told that there is no answer; one may come yet for a while."""
        due = [(seq, one) for seq, one in self.errands.items() if one.due <= now]
        for seq, errand in due:
            if errand.told:
                del self.errands[seq]
            errand.due = now + self._period * times
        found = [one for _, one in due if not one.told]
        for errand in found:
            errand.told = True
        return found

    def forget(self, number: int) -> None:
        """All that is under way with a node."""
        self._open = {seq: one for seq, one in self._open.items() if one.target != number}
        self.errands = {
            seq: one for seq, one in self.errands.items() if number not in (one.target, one.asker)
        }

    def clear(self) -> None:
        self._open.clear()
        self.errands.clear()

    def due(self) -> list[int]:
        """ns at which something is to be done."""
        times = [one.verdict_at if one.asked else one.indirect_at for one in self._open.values()]
        return times + [one.due for one in self.errands.values()]
