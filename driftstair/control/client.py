"""Blocking HTTP calls from the command line to control servers, with time-outs and retries."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPException
from random import Random
from typing import NamedTuple

from driftstair.control.http import Response
from driftstair.net.backoff import Backoff

ANSWER_TIMEOUT_S = 5.0  # longer than a leader waits for a majority before it answers 503
ANSWER_BYTES_MAX = 16 << 20  # a status with the maximum of 8,192 nodes takes some 3 MB
RETRY_PAUSE_FIRST_S, RETRY_PAUSE_MAX_S = 0.2, 2.0  # between two rounds over all servers

Address = tuple[str, int]


class NoAnswerError(Exception):
    """A server gave no answer; whether it received the request is unknown. The text has the reason."""


class Attempt(NamedTuple):
    """The result of one failed call: a response with status 5xx, or none and the reason."""

    address: Address
    response: Response | None
    problem: str = ""


def call(address: Address, method: str, path: str, body: bytes = b"") -> Response:
    """Makes one call to one server. Raises NoAnswerError."""
    connection = HTTPConnection(*address, timeout=ANSWER_TIMEOUT_S)
    try:
        headers = {"Connection": "close", "Content-Type": "application/json"}
        connection.request(method, path, body or None, headers)
        answer = connection.getresponse()
        return Response(answer.status, answer.read(ANSWER_BYTES_MAX))
    except TimeoutError:
        raise NoAnswerError(f"no answer within {ANSWER_TIMEOUT_S:g} s") from None
    except OSError as problem:
        raise NoAnswerError(f"can't be asked: {problem.strerror or problem}") from None
    except HTTPException as problem:
        raise NoAnswerError(f"gives no HTTP answer: {type(problem).__name__}") from None
    finally:
        connection.close()


def call_any(
    servers: Sequence[Address],
    method: str,
    path: str,
    body: bytes,
    timeout_s: float,
    on_failure: Callable[[Attempt], None],
) -> Response | None:
    """Calls the servers in random order, round by round, until one gives an answer other than 5xx. Returns
    None if none did within `timeout_s`. `on_failure` gets each failed attempt. Several servers may receive
    the body, so the call has to be idempotent."""
    deadline_s = time.monotonic() + timeout_s
    random = Random()
    order = random.sample(list(servers), len(servers))
    backoff = Backoff(RETRY_PAUSE_FIRST_S, RETRY_PAUSE_MAX_S, random.getrandbits(64))
    while True:
        for address in order:
            try:
                response = call(address, method, path, body)
            except NoAnswerError as problem:
                on_failure(Attempt(address, None, str(problem)))
                continue
            if response.status < 500:
                return response
            on_failure(Attempt(address, response))
        pause = backoff.pause()
        if time.monotonic() + pause >= deadline_s:
            return None
        time.sleep(pause)
