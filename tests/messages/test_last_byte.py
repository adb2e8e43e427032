"""The estimate of when a client wrote the last byte of a body that its server reads slowly."""

from __future__ import annotations

from driftstair.net.body_stream import SENDER_BUFFER_BYTES_MAX
from driftstair.net.last_byte import LastByteEstimate

SECOND = 1_000_000_000
READ_BYTES = 100_000


def read_and_pause(estimate: LastByteEstimate, now: int, bytes_per_s: float) -> None:
    """The client sends as much as the node reads at once, and the node reads no further."""
    estimate.on_read(now, READ_BYTES, more_may_be_ready=True)
    estimate.on_pause(now, bytes_per_s)


def test_there_is_no_estimate_while_the_client_is_not_held_up() -> None:
    estimate = LastByteEstimate()
    estimate.on_read(SECOND, READ_BYTES, more_may_be_ready=True)
    assert estimate.earliest(0, 100_000) is None
    assert estimate.earliest(0, None) is None


def test_the_rest_is_taken_to_be_written_at_the_rate_before_the_client_was_held_up() -> None:
    estimate = LastByteEstimate()
    read_and_pause(estimate, SECOND, 200_000.0)
    assert estimate.earliest(0, 100_000) == SECOND + SECOND // 2
    read_and_pause(estimate, 2 * SECOND, 50_000.0)  # held up by then
    assert estimate.earliest(0, 0) == SECOND + SECOND // 2


def test_a_body_that_came_at_an_unknown_rate_may_have_been_written_at_once() -> None:
    estimate = LastByteEstimate()
    read_and_pause(estimate, SECOND, 0.0)
    assert estimate.earliest(0, 100_000) == SECOND


def test_there_is_no_estimate_before_the_clients_machine_may_hold_the_rest() -> None:
    estimate = LastByteEstimate()
    read_and_pause(estimate, SECOND, 1e12)
    assert estimate.earliest(0, SENDER_BUFFER_BYTES_MAX + 1) is None
    assert estimate.earliest(0, SENDER_BUFFER_BYTES_MAX) in range(SECOND, SECOND + SECOND // 100)


def test_the_rest_was_not_written_before_the_clients_machine_had_room_for_it() -> None:
    estimate = LastByteEstimate()
    read_and_pause(estimate, SECOND, 1e12)
    read_and_pause(estimate, 2 * SECOND, 1e12)
    read_and_pause(estimate, 3 * SECOND, 1e12)
    rest_bytes = SENDER_BUFFER_BYTES_MAX - READ_BYTES
    assert estimate.earliest(0, rest_bytes) == 2 * SECOND
    assert estimate.earliest(0, rest_bytes + 1) == 3 * SECOND


def test_a_body_of_unknown_length_may_end_with_the_next_byte() -> None:
    """Guards against a body in chunks that has no deadline until its server has read it."""
    estimate = LastByteEstimate()
    read_and_pause(estimate, SECOND, 1e12)
    assert estimate.earliest(0, None) == SECOND
    reads_in_sender_buffer = SENDER_BUFFER_BYTES_MAX // READ_BYTES
    for number in range(1, reads_in_sender_buffer + 1):
        read_and_pause(estimate, SECOND + number * SECOND, 1e12)
        assert estimate.earliest(0, None) in range(SECOND, SECOND + SECOND // 100)
    read_and_pause(estimate, 100 * SECOND, 1e12)
    assert estimate.earliest(0, None) == 2 * SECOND


def test_what_is_read_and_not_parsed_may_hold_the_end() -> None:
    estimate = LastByteEstimate()
    estimate.on_read(SECOND, READ_BYTES, more_may_be_ready=True)
    estimate.on_pause(SECOND, 100_000.0)
    estimate.on_read(2 * SECOND, READ_BYTES, more_may_be_ready=True)
    assert estimate.earliest(READ_BYTES, None) == SECOND
    assert estimate.earliest(READ_BYTES // 2, None) == SECOND + SECOND // 2


def test_a_client_that_does_not_fill_a_read_is_not_held_up_after_it() -> None:
    """The read itself may hold what the client wrote while it was held up."""
    estimate = LastByteEstimate()
    read_and_pause(estimate, SECOND, 1e12)
    estimate.on_read(2 * SECOND, 10, more_may_be_ready=False)
    assert estimate.earliest(0, 0) == SECOND
    estimate.on_read(3 * SECOND, 10, more_may_be_ready=False)
    assert estimate.earliest(0, 0) is None
    estimate.on_pause(4 * SECOND, 1e12)
    assert estimate.earliest(0, None) == 4 * SECOND


def test_a_client_that_sent_nothing_while_the_node_was_reading_was_not_held_up() -> None:
    estimator = LastByteEstimate()
    read_and_pause(estimator, SECOND, 1e12)
    estimator.on_read(3 * SECOND, READ_BYTES, more_may_be_ready=True, was_quiet=True)
    assert estimator.earliest(0, None) is None
    estimator.on_pause(4 * SECOND, 1e12)
    assert estimator.earliest(0, None) == 4 * SECOND


def test_a_reset_forgets_the_body() -> None:
    estimate = LastByteEstimate()
    read_and_pause(estimate, SECOND, 1e12)
    estimate.reset()
    assert estimate.earliest(0, None) is None
