"""Operators' changes to the server list: which servers the decision module is shown, and in which state.

A server that is out of service is shown as draining whatever the list says, so the decision module's rule for
draining servers applies. A server that is put back has most likely been restarted meanwhile. Unless the list
has reported a start since it was taken out, it is shown as started when it was put back, since a cold server
that is treated as warm is overloaded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from driftstair.hosts import Host
from lichenspring.interface import ServerState


@dataclass(slots=True)
class Orders:
    """The operators' orders, as stored; they outlive the process.

    Times of servers are in ms of Unix time, like the start times in the list. The node's clock may be wrong,
    so none of them is set earlier than a start that the list had reported by then."""

    out: dict[str, int] = field(default_factory=dict)  # server -> when it was taken out
    # Server -> when it was put back, while that overrides its start time.
    back: dict[str, int] = field(default_factory=dict)
    drained: int = 0  # since when the node is out of service, ms of the monotonic clock; 0: in service

    def take_out(self, server: str, now: int, started: int = 0) -> None:
        """Takes a server out of service. A repeated call keeps the first time, so one call puts the server
        back. `started`: the server's last start according to the list; 0: long ago."""
        self.out.setdefault(server, max(now, started))
        self.back.pop(server, None)

    def put_back(self, server: str, now: int, started: int) -> None:
        """Puts a server back. `started`: as for `take_out`, as of now."""
        since = self.out.pop(server, None)
        if since is not None and started <= since:
            self.back[server] = max(now, started + 1)

    def copy(self) -> Orders:
        return Orders(dict(self.out), dict(self.back), self.drained)


class ServerOverrides:
    """The servers of one node. Servers that are gone are dropped from the list, their orders are kept."""

    def __init__(self, orders: Orders | None = None) -> None:
        self.orders = orders or Orders()
        self.configured_orders = Orders()  # drains from the configuration, besides the operators' orders
        self.hosts: dict[str, Host] = {}

    def is_known(self, server: str) -> bool:
        """Whether a call may name the server: it is in the list, or out of service."""
        return server in self.hosts or server in self.orders.out

    def last_start_ms(self, server: str) -> int:
        """The server's last start in ms according to the list; 0: long ago."""
        host = self.hosts.get(server)
        return 0 if host is None else host.started_ms

    def apply_list(self, full: bool, hosts: Iterable[Host]) -> tuple[Host, ...]:
        """Applies a full list or a change of it; returns its entries as they are to be shown."""
        hosts = tuple(hosts)
        if full:
            self.hosts.clear()
        for host in hosts:
            if host.state is ServerState.GONE:
                self.hosts.pop(host.id, None)
            else:
                self.hosts[host.id] = host
        if full:  # a server that left the list can't come back warm
            for orders in (self.orders, self.configured_orders):
                orders.back = {server: at for server, at in orders.back.items() if server in self.hosts}
        return tuple(self.effective_host(host) for host in hosts)

    def set_orders(self, orders: Orders) -> tuple[Host, ...]:
        """Replaces the orders; returns the whole list as it is to be shown, or nothing if unchanged."""
        before = self.effective_hosts()
        self.orders = orders
        after = self.effective_hosts()
        return after if after != before else ()

    def set_configured_drains(self, drained: Iterable[str], now: int) -> tuple[Host, ...]:
        """Sets the servers that the configuration drains; returns the whole list as it is to be shown now, or
        nothing if that is unchanged. `now`: ms of Unix time."""
        before = self.effective_hosts()
        drained_servers = set(drained)
        for server in drained_servers - self.configured_orders.out.keys():
            self.configured_orders.take_out(server, now, self.last_start_ms(server))
        for server in self.configured_orders.out.keys() - drained_servers:
            self.configured_orders.put_back(server, now, self.last_start_ms(server))
        after = self.effective_hosts()
        return after if after != before else ()

    def effective_hosts(self) -> tuple[Host, ...]:
        return tuple(self.effective_host(host) for host in self.hosts.values())

    def effective_host(self, host: Host) -> Host:
        if host.id in self.orders.out or host.id in self.configured_orders.out:
            return host._replace(state=ServerState.DRAINING) if host.state is ServerState.READY else host
        back = max(self.orders.back.get(host.id, 0), self.configured_orders.back.get(host.id, 0))
        # Kept even once the list reports the start itself, which was earlier: a changed start time would
        # close the connections to the server.
        return host if not back else host._replace(started_ms=max(host.started_ms, back))
