"""Servers as the list tells them, as operators have taken them out, and as the decision module is shown them.

A server that is out is shown as draining, whatever the list says of it: the module's own rule on drains
then sees to all the rest. One that is put back was most likely restarted meanwhile; unless the list has
told of a start since it was taken out, it is shown as started when it was put back, since a cold server
treated as warm is pushed over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from driftstair.hosts import Host
from lichenspring.interface import ServerState


@dataclass(slots=True)
class Orders:
    """What operators want, as it is kept: it outlives the process.

    Times of servers are ms, Unix time, as the list tells their starts. The node's own clock may be off, so
    none of them counts as earlier than a start that the list had told by then."""

    out: dict[str, int] = field(default_factory=dict)  # since when each server is out
    back: dict[str, int] = field(default_factory=dict)  # when others were put back, while that matters
    drained: int = 0  # since when the node is out of service, ms of the monotonic clock; 0: it is in service

    def take_out(self, server: str, now: int, started: int = 0) -> None:
        """Two calls out take one call back: the first one's time stands. `started`: when the server last did,
        as far as the list has told; 0: long ago."""
        self.out.setdefault(server, max(now, started))
        self.back.pop(server, None)

    def put_back(self, server: str, now: int, started: int) -> None:
        """`started`: as for `take_out`, by now."""
        since = self.out.pop(server, None)
        if since is not None and started <= since:
            self.back[server] = max(now, started + 1)

    def copy(self) -> Orders:
        return Orders(dict(self.out), dict(self.back), self.drained)


class ServerOverrides:
    """One node's servers. Entries that the list has named gone are forgotten, orders about them are not."""

    def __init__(self, orders: Orders | None = None) -> None:
        self.orders = orders or Orders()
        self.configured = Orders()  # drains of the configuration, beside the operators' own
        self.hosts: dict[str, Host] = {}

    def holds(self, server: str) -> bool:
        """Whether a call may name it: the list does, or it is out."""
        return server in self.hosts or server in self.orders.out

    def started(self, server: str) -> int:
        """When it last did, ms, as far as the list has told; 0: long ago."""
        host = self.hosts.get(server)
        return 0 if host is None else host.started_ms

    def apply_list(self, full: bool, hosts: Iterable[Host]) -> tuple[Host, ...]:
        """A list or a change of it has come: its entries as they are to be shown."""
        hosts = tuple(hosts)
        if full:
            self.hosts.clear()
        for host in hosts:
            if host.state is ServerState.GONE:
                self.hosts.pop(host.id, None)
            else:
                self.hosts[host.id] = host
        if full:  # what nobody names any more can't come back warm
            for orders in (self.orders, self.configured):
                orders.back = {one: at for one, at in orders.back.items() if one in self.hosts}
        return tuple(self.shown(host) for host in hosts)

    def order(self, orders: Orders) -> tuple[Host, ...]:
        """Other orders: the whole list as it is to be shown now; nothing if it is as before."""
        before = self.listed()
        self.orders = orders
        after = self.listed()
        return after if after != before else ()

    def set_configured_drains(self, drained: Iterable[str], now: int) -> tuple[Host, ...]:
        """The servers that the configuration drains, all of them: the whole list as it is to be shown now;
        nothing if it is as before. `now` in ms, Unix time."""
        before = self.listed()
        wanted = set(drained)
        for server in wanted - self.configured.out.keys():
            self.configured.take_out(server, now, self.started(server))
        for server in self.configured.out.keys() - wanted:
            self.configured.put_back(server, now, self.started(server))
        after = self.listed()
        return after if after != before else ()

    def listed(self) -> tuple[Host, ...]:
        return tuple(self.shown(host) for host in self.hosts.values())

    def shown(self, host: Host) -> Host:
        if host.id in self.orders.out or host.id in self.configured.out:
            return host._replace(state=ServerState.DRAINING) if host.state is ServerState.READY else host
        back = max(self.orders.back.get(host.id, 0), self.configured.back.get(host.id, 0))
        # Kept even once the list tells of the start itself, which was earlier: a start that seems to change
        # would have its connections closed.
        return host if not back else host._replace(started_ms=max(host.started_ms, back))
