"""Questions to an SMT solver."""

from __future__ import annotations

from typing import Any

import z3


def is_unsatisfiable(*claims: Any) -> bool:
    """Whether no state satisfies all of the claims."""
    solver = z3.Solver()
    solver.set("timeout", 60_000)
    solver.add(*claims)
    result = solver.check()
    assert result != z3.unknown
    return bool(result == z3.unsat)
