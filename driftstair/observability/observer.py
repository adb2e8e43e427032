"""What a node tells whoever observes it, step by step. Durations in ms, as they are read by people.

`request` is the number that the node gives a request, `request_id` the client's own name of it.
"""

from __future__ import annotations

from typing import Protocol


class Observer(Protocol):
    """Called as things happen, on the loop's thread; has to be quick and must not raise."""

    def request_taken(self, request: int, request_id: str, left_ms: float, waited_ms: float) -> None:
        """`left_ms`: until the client's deadline; `waited_ms`: between its arrival and its reading."""

    def attempt_started(
        self, request: int, attempt: int, server: str, told_ms: float, held_ms: float
    ) -> None:
        """Its bytes have gone to a server, which is told this deadline; `held_ms`: between the last look at
        whether they may go and their being written."""

    def attempt_not_begun(self, request: int, attempt: int, why: str) -> None: ...

    def attempt_ended(self, request: int, attempt: int, result: str, elapsed_ms: float) -> None: ...

    def request_answered(self, request: int, status: int, reason: str) -> None: ...

    def request_abandoned(self, request: int) -> None:
        """Its client closed its connection: what was out is cancelled, and nobody is answered."""

    def connection_closed(self, request: int, reason: str) -> None:
        """By the node. `request`: the one that it held unanswered; 0: none."""

    def discovery_called(self, address: str, version: int) -> None:
        """`version`: of the list that the call builds on."""

    def list_received(self, version: int, full: bool, servers: int, waited_ms: float) -> None:
        """`servers`: entries of this line; `waited_ms`: since the call."""

    def discovery_ended(self, why: str, answered: bool, lasted_ms: float) -> None:
        """A call or a watch is over. `answered`: it had brought a line."""

    def process_state_changed(self, state: str) -> None: ...

    def loop_held(self, held_ms: float) -> None:
        """The process did not run, or one turn of the loop took so long."""

    def invariant_violated(self, invariant: str, request: int, detail: str) -> None: ...

    def metrics_reported(self, counts: dict[str, int]) -> None: ...
