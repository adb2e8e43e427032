"""Which byte of a server's answer is timed, and what may still end the attempt. No I/O.

The platform times an answer of up to 64 KiB by its last byte and a longer one by its first bytes; what a
server still gives of a long one must not be cut off. The length of an answer without Content-Length is only
known at its end, or once 64 KiB have arrived. Until then it is buffered like a short one, so that a spoilt
one can still be made again elsewhere. When its time runs out before its length is known, it is passed on as
it comes, like a long one.
"""

from __future__ import annotations

from enum import Enum

from driftstair.net.body_stream import INLINE_BODY_BYTES_MAX

FINAL_ANSWER_GRACE_S = 0.4  # after the client's deadline; the platform allows 0.5 s for a final answer
UNDECIDED_SILENCE_S_MAX = 2.0  # of a server, after the deadline, while its answer may still be a short one
DECISION_LEAD_NS = 20_000_000  # before an answer's time runs out, so that its first bytes are in time


class AnswerPhase(Enum):
    """What is known of an answer; the values are the names in the event log."""

    AWAITED = "awaited"  # its head has not arrived
    SHORT = "short"  # its last byte is timed
    UNDECIDED = "undecided"  # a good answer without a length, of which up to 64 KiB have arrived
    LONG = "long"  # its first bytes are timed; it is passed on as it comes


class AttemptEnd(Enum):
    """What may end an attempt from this node's side."""

    TIME_OUT = "time-out"  # of the attempt, which is never later than the client's deadline
    DEADLINE = "deadline"  # of the client
    PROCESS_ENDING = "process ending"
    ANSWERED = "answered"  # by another attempt
    CLIENT_CLOSED = "client closed"


_CLIENT_WAITS = (AttemptEnd.TIME_OUT, AttemptEnd.DEADLINE, AttemptEnd.PROCESS_ENDING)


def phase_of_head(status: int, length: int | None) -> AnswerPhase:
    """The phase after the head of a final answer. `length`: None if the head does not state it."""
    if status != 200:
        return AnswerPhase.SHORT
    if length is None:
        return AnswerPhase.UNDECIDED
    return AnswerPhase.LONG if length > INLINE_BODY_BYTES_MAX else AnswerPhase.SHORT


def is_passed_on(phase: AnswerPhase, end: AttemptEnd) -> bool:
    """Whether the answer is passed on as it comes instead of being given up."""
    return phase is AnswerPhase.UNDECIDED and end in _CLIENT_WAITS
