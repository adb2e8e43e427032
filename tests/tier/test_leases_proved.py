"""One owner at a time after any number of steps, by a solver: three voters, two who want, clocks as
real numbers; and what is proved holds in the shipped core at every step of random orders."""

from __future__ import annotations

from dataclasses import dataclass, replace
from fractions import Fraction
from itertools import combinations
from typing import Any

import pytest
import z3
from solving import refuted
from voters import World, proposing, quick, walk

from driftstair.tier.ownership.leases import TERMS

MEMBERS, RIVALS, MAJORITY = 3, 2, 2
DRIFT = z3.Q(*Fraction(TERMS.drift).limit_denominator().as_integer_ratio())
FAST, SLOW = 1 + DRIFT, 1 - DRIFT
LEASE, WAITED = z3.RealVal(TERMS.lease), z3.RealVal(TERMS.waited())
NONE = z3.RealVal(0)


@dataclass(frozen=True)
class State:
    """Remaining times of their keepers' clocks. A member's `bound` is to whom it gave a lease last, known or
    forgotten by a restart, and `rest` how long it will take nobody else's; `gen` counts that owner's tokens.
    A rival's `left` is its lease, `hope` the proposal under way, `taken` who has accepted that; tokens up to
    `freed` it has released."""

    rest: tuple[Any, ...]
    bound: tuple[Any, ...]
    gen: tuple[Any, ...]
    left: tuple[Any, ...]
    hope: tuple[Any, ...]
    taken: tuple[tuple[Any, ...], ...]
    now: tuple[Any, ...]  # the token of a rival's proposal
    freed: tuple[Any, ...]


def put(some: tuple[Any, ...], place: int, value: Any) -> tuple[Any, ...]:
    return (*some[:place], value, *some[place + 1 :])


def unknown() -> State:
    def named(what: Any, name: str, count: int) -> tuple[Any, ...]:
        return tuple(what(f"{name}{number}") for number in range(count))

    return State(
        named(z3.Real, "rest", MEMBERS), named(z3.Int, "bound", MEMBERS), named(z3.Int, "gen", MEMBERS),
        named(z3.Real, "left", RIVALS), named(z3.Real, "hope", RIVALS),
        tuple(named(z3.Bool, f"taken{rival}", MEMBERS) for rival in range(RIVALS)),
        named(z3.Int, "now", RIVALS), named(z3.Int, "freed", RIVALS),
    )  # fmt: skip


Step = tuple[str, Any, State]
FALSE = (z3.BoolVal(False),) * MEMBERS


def steps(state: State, waited: Any = WAITED, defect: str = "") -> list[Step]:
    past = z3.Real("past")
    members = [z3.Real(f"m{number}") for number in range(MEMBERS)]
    rivals = [z3.Real(f"r{number}") for number in range(RIVALS)]
    agree = [past > 0, *(z3.And(SLOW * past <= one, one <= FAST * past) for one in (*members, *rivals))]
    out: list[Step] = [("tick", z3.And(*agree), replace(
        state, rest=tuple(one - by for one, by in zip(state.rest, members, strict=True)),
        left=tuple(one - by for one, by in zip(state.left, rivals, strict=True)),
        hope=tuple(one - by for one, by in zip(state.hope, rivals, strict=True)),
    ))]  # fmt: skip
    for member in range(MEMBERS):
        silence = NONE if defect == "not silent" else waited
        out.append(("restart", z3.BoolVal(True), replace(state, rest=put(state.rest, member, silence))))
    for rival in range(RIVALS):
        anew = z3.Int(f"anew{rival}")
        begun = replace(
            state, hope=put(state.hope, rival, LEASE), now=put(state.now, rival, anew),
            taken=state.taken if defect == "old answers" else put(state.taken, rival, FALSE),
        )  # fmt: skip
        out.append(("propose", z3.And(anew >= state.now[rival], anew > state.freed[rival]), begun))
        some = combinations(range(MEMBERS), 1 if defect == "no majority" else MAJORITY)
        enough = z3.Or(*(z3.And(*(state.taken[rival][one] for one in each)) for each in some))
        got = LEASE if defect == "from the answer" else state.hope[rival]
        larger = z3.If(got > state.left[rival], got, state.left[rival])
        out.append(("own", enough, replace(state, left=put(state.left, rival, larger))))
        over = replace(
            state, left=put(state.left, rival, NONE), hope=put(state.hope, rival, NONE),
            taken=put(state.taken, rival, FALSE),
        )  # fmt: skip
        out.append(("rival restarts", z3.BoolVal(True), over))
        freed = put(state.freed, rival, state.now[rival])
        out.append(("release", state.left[rival] > 0, replace(over, freed=freed)))
        for member in range(MEMBERS):
            free = z3.Or(state.rest[member] <= 0, state.bound[member] == rival)
            may = z3.BoolVal(True) if defect == "taken from another" else free
            given = replace(
                state, rest=put(state.rest, member, waited), bound=put(state.bound, member, z3.IntVal(rival)),
                gen=put(state.gen, member, state.now[rival]),
            )  # fmt: skip
            taken = put(state.taken[rival], member, z3.BoolVal(True))
            # A proposal that the rival waits for yet, or one that it has given up: the same to the member.
            out.append(
                (
                    "accept",
                    z3.And(may, state.now[rival] > state.freed[rival]),
                    replace(given, taken=put(state.taken, rival, taken)),
                )
            )
            out.append(("accept late", z3.And(may, state.now[rival] > state.freed[rival]), given))
            heard = z3.And(state.bound[member] == rival, state.gen[member] <= state.freed[rival])
            if defect == "any release":
                heard = state.bound[member] == rival
            out.append(("released", heard, replace(state, rest=put(state.rest, member, NONE))))
    return out  # fmt: skip


def holds_to(state: State, member: int, rival: int, time: Any) -> Any:
    return z3.And(
        state.bound[member] == rival, state.rest[member] * SLOW >= time * FAST,
        state.gen[member] > state.freed[rival],
    )  # fmt: skip


def invariant(state: State) -> Any:
    out = [one <= WAITED for one in state.rest]
    for rival in range(RIVALS):
        out += [state.left[rival] <= LEASE, state.hope[rival] <= LEASE]
        left = state.left[rival]
        kept = z3.Sum(*(z3.If(holds_to(state, member, rival, left), 1, 0) for member in range(MEMBERS)))
        out.append(z3.Implies(left > 0, kept >= MAJORITY))
        for member in range(MEMBERS):
            hope = state.hope[rival]
            counts = z3.And(state.taken[rival][member], hope > 0)
            out.append(z3.Implies(counts, holds_to(state, member, rival, hope)))
    return z3.And(*out)


def broken_by(waited: Any = WAITED, defect: str = "") -> set[str]:
    state = unknown()
    return {
        name for name, may, after in steps(state, waited, defect)
        if not refuted(invariant(state), may, z3.Not(invariant(after)))
    }  # fmt: skip


def test_every_step_keeps_the_invariant_and_it_allows_one_owner() -> None:
    assert broken_by() == set()
    state = unknown()
    assert refuted(invariant(state), state.left[0] > 0, state.left[1] > 0)
    assert not refuted(invariant(state), state.left[0] > 0)


def test_it_holds_at_the_start() -> None:
    state = unknown()
    silent = [one == WAITED for one in state.rest]
    nothing = [one == 0 for one in (*state.left, *state.hope)]
    free = [z3.Not(one) for some in state.taken for one in some]
    assert refuted(*silent, *nothing, *free, z3.Not(invariant(state)))


@pytest.mark.parametrize(
    ("defect", "step"),
    [("not silent", "restart"), ("old answers", "propose"), ("no majority", "own"),
     ("from the answer", "own"), ("taken from another", "accept"), ("any release", "released")],
)  # fmt: skip
def test_a_planted_defect_leads_out_of_it(defect: str, step: str) -> None:
    assert step in broken_by(defect=defect)


def test_a_lease_that_is_not_waited_out_leads_out_of_it() -> None:
    assert "accept" in broken_by(waited=LEASE)


# In the shipped core.


def kept(world: World) -> bool:
    """Whoever has a lease is held to by a majority for longer, as far as that can be seen of the members: one
    that is silent may have forgotten to whom."""
    fast, slow = 1 + world.terms.drift, 1 - world.terms.drift
    for number, proposer in world.proposers.items():
        left = proposer._until - world.clocks[number]
        if not proposer.holds(world.clocks[number]):
            continue
        members = 0
        for acceptor, now in zip(world.acceptors, world.clocks, strict=True):
            lease = acceptor.running.get(0)
            rest = max(
                acceptor._silent_until - now,
                lease.until - now if lease is not None and lease.owner == number else 0,
            )
            members += rest * slow >= left * fast - 1e-9
        if members < MAJORITY:
            return False
    return True


def test_the_invariant_holds_in_the_core_at_every_step(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in quick().items():
        monkeypatch.setattr(proposing, name, value)
    looked = 0

    def look(self: World) -> str:
        nonlocal looked
        looked += bool(self.owners())
        assert kept(self)
        return ""

    monkeypatch.setattr(World, "look", look)
    for seed in range(150):
        walk(seed, 1000)
    assert looked > 10_000
