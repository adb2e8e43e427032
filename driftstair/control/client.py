"""Calls of the command line to control servers: blocking, with time limits, over all servers in turn."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPException
from random import Random
from typing import NamedTuple

from driftstair.control.http import Response
from driftstair.net.backoff import Backoff

ANSWER_S_MAX = 5.0  # s: a leader that waits for a majority answers sooner, with 503
ANSWER_BYTES_MAX = 16 << 20  # a status with all 8,192 nodes takes some 3 MB
PAUSE_FIRST_S, PAUSE_S_MAX = 0.2, 2.0  # s between two rounds over all servers

Address = tuple[str, int]


class NoAnswer(Exception):
    """A server that can't be asked; whether it got the request is not known. The text says why."""


class Attempt(NamedTuple):
    """What became of one call."""

    address: Address
    response: Response | None
    problem: str = ""


def call(address: Address, method: str, path: str, body: bytes = b"") -> Response:
    """One call to one server. Raises NoAnswer."""
    connection = HTTPConnection(*address, timeout=ANSWER_S_MAX)
    try:
        headers = {"Connection": "close", "Content-Type": "application/json"}
        connection.request(method, path, body or None, headers)
        answer = connection.getresponse()
        return Response(answer.status, answer.read(ANSWER_BYTES_MAX))
    except TimeoutError:
        raise NoAnswer(f"no answer within {ANSWER_S_MAX:g} s") from None
    except OSError as problem:
        raise NoAnswer(f"can't be asked: {problem.strerror or problem}") from None
    except HTTPException as problem:
        raise NoAnswer(f"gives no HTTP answer: {type(problem).__name__}") from None
    finally:
        connection.close()


def ask_in_turn(
    servers: Sequence[Address],
    method: str,
    path: str,
    body: bytes,
    within_s: float,
    on_failure: Callable[[Attempt], None],
) -> Response | None:
    """The first answer that is none of 5xx, from whichever server; None: there was none within so many s.
    The body may reach several servers, so the call has to be one that may be repeated."""
    until = time.monotonic() + within_s
    random = Random()
    order = random.sample(list(servers), len(servers))
    backoff = Backoff(PAUSE_FIRST_S, PAUSE_S_MAX, random.getrandbits(64))
    while True:
        for address in order:
            try:
                response = call(address, method, path, body)
            except NoAnswer as problem:
                on_failure(Attempt(address, None, str(problem)))
                continue
            if response.status < 500:
                return response
            on_failure(Attempt(address, response))
        pause = backoff.pause()
        if time.monotonic() + pause >= until:
            return None
        time.sleep(pause)
