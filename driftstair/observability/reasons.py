"""Why a request was answered, and why a client's connection was closed by the node: the names that counts and
the event log use. No I/O, no clock."""

from __future__ import annotations

from enum import Enum


class AnswerReason(Enum):
    """Why a request got its final answer."""

    SERVED = "served"  # a server's 200
    REJECTED_BY_SERVER = "rejected_by_server"  # a server's 4xx: the request is at fault
    REFUSED = "refused"  # by the decision module: no room, no server, or nothing may have run
    FAILED = "failed"  # by the decision module: attempts failed, and one may have run
    OVERDUE = "overdue"  # its time ended while it was held
    NO_TIME_LEFT = "no_time_left"  # its time had ended when it was read
    DUPLICATE_ID = "duplicate_id"  # another open request has its id
    TOO_MANY_OPEN = "too_many_open"  # the platform's cap on open requests
    BODY_TOO_LONG = "body_too_long"  # over its route's limit
    TENANT_LIMIT = "tenant_limit"
    CLIENT_LEFT = "client_left"  # its client ended its sending, and nothing was out for it
    STREAM_BROKEN = "stream_broken"  # part of its body was passed on: no further attempt is possible
    MODULE_ERROR = "module_error"  # the decision module raised
    PROCESS_ENDING = "process_ending"
    UNREADABLE = "unreadable"  # its bytes are no request that can be used, or came too slowly


class CloseReason(Enum):
    """Why the node closed a client's connection."""

    AFTER_ANSWER = "after_answer"  # the answer told the client so
    CLIENT_ENDED = "client_ended"  # the client had ended its sending, and all is answered
    IDLE = "idle"  # for room, at the node's end, or unused for too long
    TOO_SLOW = "too_slow"  # a part of a request had come, or nothing at all
    SLOW_READER = "slow_reader"  # its answer was not taken before its deadline
    ANSWER_BROKEN = "answer_broken"  # a long answer can't be finished
    TOO_MUCH_AFTER_END = "too_much_after_end"  # a rejected client went on sending
