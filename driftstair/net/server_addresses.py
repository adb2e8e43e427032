"""Which server answers at an address. No I/O.

A server that has gone may still be listed when a new one comes up at its address. What is sent to the old one
would then run at the new one, whatever the list says of that: its state, its orders, its age. So of several
servers at one address only the one that started last is shown. The others count as gone, and come back if the
list takes that one away again.
"""

from __future__ import annotations

from collections.abc import Iterable

from driftstair.hosts import Host
from lichenspring.interface import ServerState

Address = tuple[str, int]


class AddressHolders:
    """The servers of one node's list, by address."""

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}  # ready or draining, by id
        self._ids: dict[Address, list[str]] = {}  # the holder of the address last

    def apply(self, is_full: bool, hosts: Iterable[Host]) -> tuple[Host, ...]:
        """Applies a full list or a change of it; returns its entries as they are to be shown. A change may
        get entries of other servers at the same addresses."""
        if is_full:
            self._hosts.clear()
            self._ids.clear()
        shown: dict[str, Host] = {}
        shared: dict[Address, None] = {}
        for host in hosts:
            shown[host.id] = host
            previous = self._hosts.get(host.id)
            is_gone = host.state is ServerState.GONE
            if previous is not None and (is_gone or previous.address != host.address):
                self._remove(previous, shared)
            if not is_gone:
                self._add(host, shared)
        for address in shared:
            for server in self._ids.get(address, ()):
                shown[server] = self._shown(server, address)
        if is_full:
            return tuple(host for host in shown.values() if host.state is not ServerState.GONE)
        return tuple(shown.values())

    def _shown(self, server: str, address: Address) -> Host:
        host = self._hosts[server]
        return host if self._ids[address][-1] == server else host._replace(state=ServerState.GONE)

    def _add(self, host: Host, shared: dict[Address, None]) -> None:
        """Adds a server, or replaces its entry."""
        ids = self._ids.setdefault(host.address, [])
        if host.id not in ids:
            # A ready newcomer holds the address, unless a server there has started later.
            is_ready = host.state is ServerState.READY
            older = [other for other in ids if self._is_older(self._hosts[other], host, is_ready)]
            ids.insert(len(older), host.id)
        elif host.started_ms > max(self._hosts[other].started_ms for other in ids):
            ids.remove(host.id)
            ids.append(host.id)
        self._hosts[host.id] = host
        if len(ids) > 1:
            shared[host.address] = None

    @staticmethod
    def _is_older(other: Host, host: Host, on_tie: bool) -> bool:
        return other.started_ms < host.started_ms or (on_tie and other.started_ms == host.started_ms)

    def _remove(self, previous: Host, shared: dict[Address, None]) -> None:
        del self._hosts[previous.id]
        ids = self._ids[previous.address]
        ids.remove(previous.id)
        if ids:
            shared[previous.address] = None
        else:
            del self._ids[previous.address]
