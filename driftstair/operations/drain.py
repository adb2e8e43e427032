"""When a node that is out of service lets go of its clients.

The front layer looks at `/up` each 0.1 s and goes on sending new connections for another 0.2 s; clients use
the connections that they have for as long as these stay open. So answers end their connections from the
first moment, idle connections go once no new ones are expected, and what comes so late that it might still
be open at the end is refused at once, which its client may take elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FRONT_KNOWS = 0.5  # s from the call until the front layer sends nobody any more, with some slack
SPOKEN_BY = 0.4  # s from connecting: a connection that has brought nothing by then is let go
REFUSES_FROM = 1.7  # s: what is whole later than this could be open at the end with its time not over
HEADS_UNTIL = 3.2  # s: what has begun a request by then and is not whole is told to go elsewhere


class ConnectionActivity(Enum):
    """What a client's connection is at, as far as a drain goes."""

    SILENT = "has brought nothing yet"
    IDLE = "has been answered"
    PARTIAL = "has begun a request"
    BUSY = "waits for an answer"


class DrainAction(Enum):
    STAY = "stays"
    CLOSE = "is closed"
    REFUSE = "is refused and closed"


@dataclass(frozen=True, slots=True)
class Drain:
    """Times in s of one clock that does not go back."""

    begun: float

    def refuses(self, now: float) -> bool:
        """Whether a request that is whole now is refused."""
        return now - self.begun >= REFUSES_FROM

    def action_for(self, rests: ConnectionActivity, age: float, now: float) -> DrainAction:
        """What becomes of a connection that came `age` s ago."""
        since = now - self.begun
        if rests is ConnectionActivity.BUSY or since < FRONT_KNOWS:
            return DrainAction.STAY
        if rests is ConnectionActivity.IDLE or (rests is ConnectionActivity.SILENT and age >= SPOKEN_BY):
            return DrainAction.CLOSE
        return (
            DrainAction.REFUSE
            if rests is ConnectionActivity.PARTIAL and since >= HEADS_UNTIL
            else DrainAction.STAY
        )
