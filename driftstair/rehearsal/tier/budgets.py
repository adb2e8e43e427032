"""What must hold of the fleet's budgets, by the histories of all nodes: spent, and held.

Times of one machine's monotonic clock, which the nodes share here; so a loan that ended while its holder
stood still is over, whatever that holder has come to write of it.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from driftstair.rehearsal.tier.checks import SECOND, Finding

Event = dict[str, Any]
Move = tuple[int, int, int, int]
"""When; by how much what a home has lent changes, and what others hold of it; what it says that it holds."""


@dataclass(frozen=True, slots=True)
class Terms:
    """Of one budget, as the nodes were told it; where that differs, the most that any was told."""

    per_s: float
    burst_ns: int
    nodes: int
    shares: int
    drift: float


@dataclass(slots=True)
class Spending:
    """Of one budget over a whole play. `over`: tokens by which the worst window goes over per_s x t."""

    terms: Terms
    spent: float
    over: float
    window: tuple[int, int]

    def allowed(self) -> float:
        """Tokens that a window may go over per_s x t."""
        return self.terms.per_s * self.terms.burst_ns / SECOND


def terms_of(events: list[Event]) -> dict[str, Terms]:
    out: dict[str, Terms] = {}
    for one in events:
        if one["event"] != "budget":
            continue
        known = out.get(one["budget"])
        told = (one["per_s"], one["burst_ns"], one["nodes"], one["shares"], one["drift"])
        most = told if known is None else tuple(map(max, told, vars_of(known)))
        out[one["budget"]] = Terms(*most)
    return out


def vars_of(terms: Terms) -> tuple[Any, ...]:
    return terms.per_s, terms.burst_ns, terms.nodes, terms.shares, terms.drift


def spending(events: list[Event]) -> dict[str, Spending]:
    """The worst window of each budget, of all windows: in one pass, by the least that came before."""
    out = {}
    for name, terms in terms_of(events).items():
        its = [one for one in events if one["event"] == "spend" and one["budget"] == name]
        spends = sorted((one["t_ns"], one["amount"]) for one in its)
        per_ns = terms.per_s * (1 + terms.drift) / SECOND
        total, over, window = 0.0, 0.0, (0, 0)
        least, began = float("inf"), 0
        for at, amount in spends:
            if total - per_ns * at < least:
                least, began = total - per_ns * at, at
            total += amount
            if total - per_ns * at - least > over:
                over, window = total - per_ns * at - least, (began, at)
        out[name] = Spending(terms, total, over, window)
    return out


def overspent(events: list[Event]) -> list[Finding]:
    """Over every window; so over every subset of the nodes as well, which spends no more than all."""
    return [
        Finding(
            "a budget of the fleet is overspent",
            one.window[0],
            -1,
            -1,
            f"{name}: in {(one.window[1] - one.window[0]) / SECOND:.2f} s {one.over:.1f} more than "
            f"{one.terms.per_s:g}/s; {one.allowed():.1f} may be saved up",
        )  # fmt: skip
        for name, one in spending(events).items()
        if one.over > one.allowed() * (1 + one.terms.drift) + 1e-6
    ]


def twice_held(events: list[Event]) -> list[Finding]:
    """A share has one holder: of a home, others never hold more than it has lent, and what a process of it
    begins with is not with others."""
    out = []
    for name, terms in terms_of(events).items():
        lent = _spans(events, name, ("lent", "extended"), "returned")
        borrowed = _spans(events, name, ("took", "renewed"), "gave")
        by_home: dict[int, list[Move]] = defaultdict(list)
        for home, spans, is_lent in [
            *((home, spans, True) for (home, *_), spans in lent.items()),
            *((home, spans, False) for (home, *_), spans in borrowed.items()),
        ]:
            for begin, end, shares in spans:
                for at, change in ((begin, shares), (end, -shares)):
                    by_home[home].append((at, change if is_lent else 0, 0 if is_lent else change, 0))
        for one in events:
            if one["event"] == "budget" and one["budget"] == name:
                by_home[one["node"]].append((one["t_ns"], 0, 0, one["own"]))
        for home, moves in sorted(by_home.items()):
            finding = _held_more(name, home, terms, moves)
            if finding is not None:
                out.append(finding)
    return out


def _held_more(name: str, home: int, terms: Terms, moves: list[Move]) -> Finding | None:
    # At one moment a lender's loan begins before and ends after the borrower's.
    moves.sort(key=lambda one: (one[0], (0 if one[1] > 0 else 1 if one[2] < 0 else 2 if one[2] > 0 else 3)))
    lent = held = 0
    for at, of_lender, of_borrower, own in moves:
        lent, held = lent + of_lender, held + of_borrower
        if held + own > terms.shares:
            return Finding(
                "a share of a budget has two holders", at, home, -1,
                f"{name}: others hold {held} of {terms.shares} shares of node {home}, and it {own}",
            )  # fmt: skip
        if held > lent or lent > terms.shares:
            return Finding(
                "a share of a budget has two holders", at, home, -1,
                f"{name}: others hold {held} shares of node {home}, which has lent {lent} of {terms.shares}",
            )  # fmt: skip
    return None


def _spans(
    events: list[Event], name: str, begins: tuple[str, str], ends: str
) -> dict[tuple[int, int, int], list[tuple[int, int, int]]]:
    """By home, its generation and loan: when that loan was out, and its shares. As its keeper wrote it."""
    first, longer = begins
    out: dict[tuple[int, int, int], list[tuple[int, int, int]]] = {}
    for one in sorted((one for one in events if one["event"] == "right"), key=lambda one: one["t_ns"]):
        if one["budget"] != name:
            continue
        home = one["node"] if first == "lent" else one["other"]
        key = (home, one["lender_life"], one["loan"])
        at, until, shares = one["t_ns"], one["until_ns"], one["shares"]
        if one["what"] == first or (one["what"] == longer and key not in out):
            out.setdefault(key, []).append((at, until, shares))
        elif one["what"] == longer:
            begin, end, shares = out[key][-1]
            out[key][-1] = (begin, max(end, until), shares)
        elif one["what"] == ends and key in out:
            begin, _, shares = out[key][-1]
            out[key][-1] = (begin, at, shares)
    return out


def check(events: list[Event]) -> list[Finding]:
    return [*overspent(events), *twice_held(events)]
