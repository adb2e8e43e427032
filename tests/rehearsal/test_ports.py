"""Reserved ports for processes that are started later."""

from __future__ import annotations

import errno
import socket

import pytest

from driftstair.net.system import bind_listening_socket
from driftstair.rehearsal import ports


def test_reserved_ports_are_distinct() -> None:
    # If each port is given back before the next is requested, two are the same in every second run.
    reserved = ports.reserve_udp(200)
    try:
        assert len({port.number for port in reserved}) == 200
    finally:
        for port in reserved:
            port.release()


def test_a_tcp_port_stays_reserved_while_a_node_listens_on_it_and_between_its_processes() -> None:
    port = ports.reserve_tcp()
    try:
        for _ in range(2):
            listener = bind_listening_socket((ports.HOST, port.number), 8)
            with socket.create_connection((ports.HOST, port.number)):
                pass
            listener.close()
        with socket.socket() as unrelated:  # a bind without SO_REUSEADDR, as in an unrelated process
            with pytest.raises(OSError) as error:
                unrelated.bind((ports.HOST, port.number))
            assert error.value.errno == errno.EADDRINUSE
    finally:
        port.release()


def test_a_udp_port_can_be_bound_once_it_is_released() -> None:
    (port,) = ports.reserve_udp(1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as process_socket:
        with pytest.raises(OSError):
            process_socket.bind((ports.HOST, port.number))
        port.release()
        process_socket.bind((ports.HOST, port.number))
