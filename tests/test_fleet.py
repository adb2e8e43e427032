"""Many independent nodes, each driven by hand with fixed seeds: their behaviour as a fleet."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush
from math import inf, sqrt
from random import Random

import pytest
from world import MS, SECOND, START, Node, server, settings

from driftstair.net.backoff import Backoff
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.balance import WATCH_TOKEN
from lichenspring.interface import Result

FALL_WINDOW_NS = 1500 * MS  # of the rule on cold servers
FALL_MULTIPLE = 3.0  # of a cold server's current capacity, above which it fails


@pytest.mark.parametrize(("nodes", "configured"), [(2, 2), (40, 40), (48, 48), (40, 1), (40, 20)])
def test_all_nodes_together_do_not_overload_cold_server(nodes: int, configured: int) -> None:
    """Holds for any configured number of nodes, as the rate of each node follows its own traffic."""
    chance = Random(7)
    rules = settings(nodes=configured)
    fleet = [Node(rules, servers=12, seed=seed) for seed in range(nodes)]
    step = SECOND * nodes // 900  # 900 requests per second in total
    began = fleet[0].now
    cold: list[int] = []
    warm: Counter[api.ServerId] = Counter()
    for number in range(900 * 12):
        node = fleet[number % nodes]
        node.wait(max(0, began + number // nodes * step - node.now))
        if number // nodes * step >= 4 * SECOND and len(node.balancer._backends) == 12:
            node.handle(api.ServerList(api.ListKind.DELTA, (server(99, started=began + 4 * SECOND),)))
        action = node.request(0, chance.randrange(1, 5000))[-1]
        if not isinstance(action, api.Send):
            continue
        if action.server == server(99).id:
            cold.append(node.now)
        elif node.now >= began + 5 * SECOND:
            warm[action.server] += 1
        node.finish(action, Result.OK, 10 * MS)
    seconds = (fleet[0].now - began) / SECOND - 5.0
    usual = sum(warm.values()) / len(warm) / seconds
    assert cold  # it is used at all
    for at in cold:
        age = (at - began - 4 * SECOND) / rules.cold_time
        warmth = rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age)
        inside = sum(at - FALL_WINDOW_NS < one <= at for one in cold)
        assert inside <= FALL_MULTIPLE * warmth * usual * FALL_WINDOW_NS / SECOND, (nodes, configured, inside)


def test_cap_is_nodes_part_of_total() -> None:
    caps = {nodes: Node(settings(nodes=nodes), servers=60).balancer._caps[0] for nodes in (1, 2, 48)}
    assert caps[1] == pytest.approx(2 * caps[2]) == pytest.approx(48 * caps[48])


def test_nodes_started_at_once_spread_their_list_calls() -> None:
    rules = settings(nodes=40, list_mode=api.ListMode.ON_REQUEST, ask_within=10 * SECOND)
    calls: Counter[int] = Counter()
    for seed in range(40):
        started = Balancer(rules, seed).start(START)
        (call,) = [one for one in started if isinstance(one, api.SetTimer) and one.token == WATCH_TOKEN]
        assert call.at - START < rules.ask_within
        calls[(call.at - START) // (SECOND // 2)] += 1
    assert max(calls.values()) <= 16 and len(calls) >= 4


def test_nodes_that_lose_pushed_list_do_not_reconnect_in_step() -> None:
    """Guards against all nodes reconnecting at the same time once a second while discovery is unreachable."""
    fleet = [Backoff(1.0, 16.0, seed) for seed in range(40)]
    for failures in range(8):
        longest = 2.0 ** min(4, failures)
        pauses = sorted(one.pause() for one in fleet)
        assert longest / 2 <= pauses[0] and pauses[-1] <= longest
        slots = Counter(int(10 * pause / longest) for pause in pauses)
        assert max(slots.values()) <= 16 and len(slots) >= 5
    for one in fleet:
        one.reset()
        assert one.pause() <= 1.0
        assert max(one.pause() for _ in range(40)) <= 16.0


def test_hot_key_in_first_second_does_not_overload_two_servers() -> None:
    """Each node sees the key once or twice. Guards against all of them sending it to the same two servers,
    which get three times their share, become overloaded and stay so."""
    chance = Random(3)
    fleet = [Balancer(settings(nodes=40), seed) for seed in range(40)]
    sent: Counter[api.ServerId] = Counter()
    for node in fleet:
        node.start(START)
        node.handle(START, api.ServerList(api.ListKind.CACHED, tuple(server(one) for one in range(60))))
    for number in range(920):  # the requests of one second
        key = 7 if chance.random() < 0.08 else chance.randrange(100, 1300)
        request = api.Request(number, 9 * SECOND, 0, 0, key, False)
        (action,) = fleet[number % 40].handle(START + number * MS, request)
        assert isinstance(action, api.Send)
        sent[action.server] += 1
        end = api.Outcome(number, True, Result.OK, 10 * MS, action.server, 0, ())
        fleet[number % 40].handle(START + number * MS, end)
        if number % 460 < 40:  # each node's window ends after half a second
            fleet[number % 40].handle(START + number * MS, api.Timer(1))
    assert max(sent.values()) <= 2.2 * 920 / 60


@pytest.mark.parametrize("servers", [6, 60])
def test_key_stays_with_first_server_after_two_keys_per_server(servers: int) -> None:
    """A small deployment reaches this within a tenth of a second and loses nothing by the rule for large
    ones."""
    node = Node(settings(), servers=servers)
    node.balancer._keyed_arrivals, node.balancer._key_counts = 0, {}
    for key in range(100, 100 + 2 * servers):
        assert node.serve(key) is not None
    assert len({node.serve(42) for _ in range(3)}) == 1


class SimulatedFleet:
    """Nodes with servers that process their requests one after the other and answer within 0.5 s at most.
    Requests arrive as a Poisson process, each at a random node."""

    def __init__(self, nodes: int, rules: api.Settings, warm: int, power: float, seed: int) -> None:
        self.chance = Random(seed)
        self.fleet = [Node(rules, servers=warm, seed=seed * 1000 + number) for number in range(nodes)]
        self.rules = rules
        self.began = self.fleet[0].now
        self.power = power  # requests per second of a warm server
        self.cold: dict[api.ServerId, list[int]] = {}  # times of requests per server
        self.started = 0
        self._free: dict[api.ServerId, int] = {}
        self._ends: list[tuple[int, int, Node, api.Send, Result]] = []

    def warmth(self, at: int) -> float:
        share = self.rules.cold_share
        return min(1.0, share + (1.0 - share) * max(0, at - self.started) / self.rules.cold_time)

    def start(self, count: int) -> None:
        """Adds `count` cold servers. Every node learns of them within a second."""
        self.started = max(node.now for node in self.fleet)
        entries = tuple(server(99 + number, started=self.started) for number in range(count))
        self.cold = {entry.id: [] for entry in entries}
        for node in self.fleet:
            learned_at = self.started + int(self.chance.random() * SECOND)
            node.wait(learned_at - node.now)
            node.handle(api.ServerList(api.ListKind.DELTA, entries))

    def play(self, rate: float, seconds: float) -> None:
        at = float(max(node.now for node in self.fleet))
        end = at + seconds * SECOND
        while (at := at + self.chance.expovariate(rate) * SECOND) < end:
            now = int(at)
            while self._ends and self._ends[0][0] <= now:
                when, _, node, send, result = heappop(self._ends)
                node.wait(max(0, when - node.now))
                report = () if result is Result.TIMEOUT else (0.25 if send.server in self.cold else 0.9,)
                node.finish(send, result, 500 * MS if result is Result.TIMEOUT else 100 * MS, report)
            node = self.chance.choice(self.fleet)
            node.wait(max(0, now - node.now))
            action = node.request(0, self.chance.randrange(1, 5000))[-1]
            if isinstance(action, api.Send):
                self._serve(now, node, action)

    def _serve(self, now: int, node: Node, send: api.Send) -> None:
        power = self.power
        if send.server in self.cold:
            self.cold[send.server].append(now)
            power *= self.warmth(now)
        free = max(now, self._free.get(send.server, now)) + int(SECOND / power)
        late = free > now + 480 * MS
        self._free[send.server] = free - int(SECOND / power / 2) * late
        done = now + 500 * MS if late else free + 60 * MS
        result = Result.TIMEOUT if late else Result.OK
        heappush(self._ends, (done, send.request * 1000 + self.fleet.index(node), node, send, result))

    def max_excess(self) -> float:
        """The largest excess over its budget N that any cold server got in a window, in units of the random
        variation allowed: 2 * sqrt(N) + 2."""
        most = -inf
        for sent in self.cold.values():
            first = 0
            for last, at in enumerate(sent):
                while sent[first] <= at - FALL_WINDOW_NS:
                    first += 1
                budget = (
                    self.rules.fall_multiple
                    * self.warmth(at - FALL_WINDOW_NS)
                    * self.power
                    * FALL_WINDOW_NS
                    / SECOND
                )
                most = max(most, (last - first + 1 - budget) / (2 * sqrt(budget) + 2))
        return most


@pytest.mark.parametrize("nodes", [1, 5, 20, 30])
@pytest.mark.parametrize("multiple", [3.0, 1.5])
def test_fleet_respects_warm_up_of_cold_servers(nodes: int, multiple: float) -> None:
    """A release at low load, during which every node saves up budget, followed by a surge."""
    rules = settings(nodes=nodes, fall_multiple=multiple, report_fields=("utilization",))
    simulated = SimulatedFleet(nodes, rules, warm=4, power=20.0, seed=5)
    simulated.play(50.0, 4.0)
    simulated.start(8)
    simulated.play(50.0, 2.0)
    simulated.play(240.0, 5.0)
    assert sum(map(len, simulated.cold.values())) > 100  # they are used at all
    assert simulated.max_excess() <= 1.0


def test_cold_server_gets_at_most_fall_multiple() -> None:
    """Guards against sending a cold server that reports room up to 1.6 times what it can do, regardless of
    the settings."""
    for multiple in (1.2, 2.0, 3.0):
        rules = settings(
            fall_multiple=multiple,
            cold_share=0.5,
            cold_time=10_000 * SECOND,
            report_fields=("utilization",),
        )
        simulated = SimulatedFleet(1, rules, warm=4, power=200.0, seed=3)
        simulated.play(400.0, 4.0)
        simulated.start(1)
        simulated.play(400.0, 8.0)
        (sent,) = simulated.cold.values()
        usual = (400.0 * 8.0 - len(sent)) / 4  # of a warm server, which has room as well
        assert 0.3 < len(sent) / (usual * 0.5) < multiple * 0.75
