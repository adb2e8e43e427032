"""What a solver is asked."""

from __future__ import annotations

from typing import Any

import z3


def refuted(*claims: Any) -> bool:
    """No state makes all of these true."""
    solver = z3.Solver()
    solver.set("timeout", 60_000)
    solver.add(*claims)
    found = solver.check()
    assert found != z3.unknown
    return bool(found == z3.unsat)
