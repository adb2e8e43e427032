"""The interface for observers of a node's events. Durations are in ms, for human readers.

`request` is the node's number of a request, `request_id` the id that the client gave it.
"""

from __future__ import annotations

from typing import Protocol


class Observer(Protocol):
    """Called on the event loop's thread as events happen; has to return quickly and must not raise."""

    def request_taken(self, request: int, request_id: str, left_ms: float, waited_ms: float) -> None:
        """`left_ms`: until the client's deadline; `waited_ms`: from arrival to reading."""

    def attempt_started(
        self, request: int, attempt: int, server: str, told_ms: float, held_ms: float
    ) -> None:
        """The attempt has been written to a server. `told_ms`: the deadline sent with it; `held_ms`: between
        the last check whether it may be sent and the write."""

    def attempt_not_begun(self, request: int, attempt: int, why: str) -> None: ...

    def attempt_ended(
        self, request: int, attempt: int, result: str, elapsed_ms: float, phase: str, received_bytes: int
    ) -> None:
        """`phase`: what was known of its answer (`AnswerPhase`); `received_bytes`: how much had arrived."""

    def stream_begun(self, request: int, reason: str) -> None:
        """The answer is passed on as it arrives."""

    def stream_ended(self, request: int, reason: str) -> None: ...

    def request_answered(self, request: int, status: int, reason: str) -> None: ...

    def request_abandoned(self, request: int) -> None:
        """The client closed its connection: open attempts are cancelled and no response is sent."""

    def connection_closed(self, request: int, reason: str) -> None:
        """The node closed a client connection. `request`: the unanswered request on it; 0: none."""

    def discovery_called(self, address: str, version: int) -> None:
        """`version`: of the list that the call asks for changes to."""

    def list_received(self, version: int, full: bool, servers: int, waited_ms: float) -> None:
        """`servers`: entries in this message; `waited_ms`: since the call."""

    def discovery_ended(self, why: str, answered: bool, lasted_ms: float) -> None:
        """A call or a watch has ended. `answered`: it had delivered a message."""

    def process_state_changed(self, state: str) -> None: ...

    def loop_held(self, held_ms: float) -> None:
        """The event loop was stalled: the process did not run, or one iteration took so long."""

    def invariant_violated(self, invariant: str, request: int, detail: str) -> None: ...

    def metrics_reported(self, counts: dict[str, int]) -> None: ...
