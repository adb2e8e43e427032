"""Ports that are held for processes that are started later."""

from __future__ import annotations

import errno
import socket

import pytest

from driftstair.net.system import bind_listening_socket
from driftstair.rehearsal import ports


def test_two_hundred_ports_are_two_hundred() -> None:
    # Asked for one after the other and each given back at once, two were the same in every second play.
    held = ports.udp(200)
    try:
        assert len({one.number for one in held}) == 200
    finally:
        for one in held:
            one.release()


def test_a_port_of_tcp_stays_held_while_a_node_listens_there_and_between_its_processes() -> None:
    held = ports.tcp()
    try:
        for _ in range(2):
            own = bind_listening_socket((ports.HOST, held.number), 8)
            with socket.create_connection((ports.HOST, held.number)):
                pass
            own.close()
        with socket.socket() as other:  # of somebody else, as the kernel gives them out
            with pytest.raises(OSError) as problem:
                other.bind((ports.HOST, held.number))
            assert problem.value.errno == errno.EADDRINUSE
    finally:
        held.release()


def test_a_port_of_udp_is_there_for_its_process_once_released() -> None:
    (held,) = ports.udp(1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as own:
        with pytest.raises(OSError):
            own.bind((ports.HOST, held.number))
        held.release()
        own.bind((ports.HOST, held.number))
