"""Why a request got its response and why the node closed a client connection, as named in counters and in the
event log. No I/O, no clock."""

from __future__ import annotations

from enum import Enum


class AnswerReason(Enum):
    """Why a request got its final response."""

    SERVED = "served"  # a server answered 200
    REJECTED_BY_SERVER = "rejected_by_server"  # a server answered 4xx: the request is at fault
    REFUSED = "refused"  # by the decision module: no capacity, no server, or no attempt was executed
    FAILED = "failed"  # by the decision module: attempts failed, and one may have been executed
    OVERDUE = "overdue"  # its deadline passed while the node held it
    NO_TIME_LEFT = "no_time_left"  # its deadline had passed when it was read
    DUPLICATE_ID = (
        "duplicate_id"  # a request with the same id is open, or may have run and must not run twice
    )
    ID_UNCERTAIN = "id_uncertain"  # the other process of an upgrade does not say whether it has run
    TOO_MANY_OPEN = "too_many_open"  # over the platform's limit on open requests
    BODY_TOO_LONG = "body_too_long"  # over its route's limit
    TENANT_LIMIT = "tenant_limit"
    CLIENT_LEFT = "client_left"  # the client closed its sending side, and no attempt was open
    STREAM_BROKEN = "stream_broken"  # part of the body had been forwarded, so no further attempt is possible
    MODULE_ERROR = "module_error"  # the decision module raised
    PROCESS_ENDING = "process_ending"
    TOO_MUCH_UNREAD = (
        "too_much_unread"  # answers that clients have not read take up their share of the memory
    )
    UNREADABLE = "unreadable"  # not a valid request, or received too slowly


class StreamStart(Enum):
    """Why an answer is passed on as it arrives, instead of once it is complete."""

    LENGTH = "length"  # its head states a long body
    SIZE = "size"  # more of it has arrived than is buffered
    TIME = "time"  # its time ran out while its server was still writing it


class StreamEnd(Enum):
    """How an answer that was passed on as it arrived ended."""

    WHOLE = "whole"
    SERVER_BROKE = "server_broke"  # its server ended the connection, or sent what is no HTTP
    SERVER_SILENT = "server_silent"  # its server has sent nothing for too long
    CLIENT_LEFT = "client_left"
    SLOW_READER = "slow_reader"  # the client has read nothing for too long


class CloseReason(Enum):
    """Why the node closed a client connection."""

    AFTER_ANSWER = "after_answer"  # the response announced it
    CLIENT_ENDED = "client_ended"  # the client had closed its sending side, and all requests are answered
    IDLE = "idle"  # to make room, at shutdown, or idle for too long
    TOO_SLOW = "too_slow"  # nothing, or only part of a request, had arrived in time
    SLOW_READER = "slow_reader"  # the client did not read its response before the deadline
    ANSWER_BROKEN = "answer_broken"  # a streamed response can't be completed
    TOO_MUCH_AFTER_END = "too_much_after_end"  # a rejected client kept sending
