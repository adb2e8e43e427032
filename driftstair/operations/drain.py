"""When a node that is out of service closes client connections.

The platform's front layer polls `/up` every 0.1 s and keeps sending new connections for another 0.2 s;
clients use their connections for as long as these stay open. Therefore responses close their connections from
the start of the drain, idle connections are closed once no new ones are expected, and a request that arrives
so late that it might still be open at the end is refused at once, so that its client can send it to another
node.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FRONT_LAYER_DELAY_S = 0.5  # until the front layer sends no new connections, with some margin
SILENT_S_MAX = 0.4  # from connecting; a connection without data by then is closed
REFUSE_AFTER_S = 1.7  # a request completed later could still be open, within its deadline, at the end
PARTIAL_REFUSE_AFTER_S = 3.2  # a request still incomplete by then is refused


class ConnectionActivity(Enum):
    """The state of a client connection, as a drain distinguishes it."""

    SILENT = "has sent nothing yet"
    IDLE = "has been answered"
    PARTIAL = "has begun a request"
    BUSY = "waits for a response"


class DrainAction(Enum):
    """What a drain does with a client connection."""

    STAY = "stays"
    CLOSE = "is closed"
    REFUSE = "is refused and closed"


@dataclass(frozen=True, slots=True)
class Drain:
    """Times in s of one monotonic clock."""

    started_at: float

    def refuses(self, now: float) -> bool:
        """Whether a request that is complete now is refused."""
        return now - self.started_at >= REFUSE_AFTER_S

    def action_for(self, activity: ConnectionActivity, age: float, now: float) -> DrainAction:
        """What to do with a connection that was accepted `age` s ago."""
        elapsed = now - self.started_at
        if activity is ConnectionActivity.BUSY or elapsed < FRONT_LAYER_DELAY_S:
            return DrainAction.STAY
        if activity is ConnectionActivity.IDLE or (
            activity is ConnectionActivity.SILENT and age >= SILENT_S_MAX
        ):
            return DrainAction.CLOSE
        return (
            DrainAction.REFUSE
            if activity is ConnectionActivity.PARTIAL and elapsed >= PARTIAL_REFUSE_AFTER_S
            else DrainAction.STAY
        )
