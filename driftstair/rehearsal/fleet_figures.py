"""Draws the servers of a run's fleet: the kind of each and its figures. No I/O.

The rehearsal kit and the model of the whole fleet draw in the same way, so that one scenario and seed give
both the same fleet.
"""

from __future__ import annotations

from random import Random

from driftstair.rehearsal import load
from driftstair.rehearsal import scenario as model
from driftstair.rehearsal.fakes.box import BoxKind
from driftstair.rehearsal.fakes.engine import Figures, Jam
from driftstair.rehearsal.scenario import Scenario

MS_PER_S = 1e3
US_PER_S = 1e6


def draw_kind_order(scenario: Scenario, random: Random) -> list[int]:
    """Returns the index of each server's kind among the scenario's kinds, in proportion to the kinds' shares,
    shuffled."""
    kinds = load.kinds(scenario)
    total = sum(kind.share for kind in kinds)
    box_count = scenario.boxes.count
    order = [index for index, kind in enumerate(kinds) for _ in range(int(box_count * kind.share / total))]
    order += [index % len(kinds) for index in range(box_count - len(order))]
    random.shuffle(order)
    return order


def draw_figures(scenario: Scenario, kind: model.Kind, random: Random) -> Figures:
    """Returns the figures of one server of a kind. `random` belongs to that server alone; the order of the
    draws is fixed."""
    reports, cores = scenario.boxes.reports, kind.cores
    return Figures(
        cores=cores,
        speed=random.uniform(*kind.speed),
        slots=max(1, int(cores * random.uniform(*kind.slots_per_core))),
        queue_max=int(cores * random.uniform(*kind.waiting_per_core)),
        cold_share=kind.cold_share,
        cold_time_s=kind.cold_s,
        thrash=kind.thrash,
        thrash_at=kind.thrash_at,
        connections_max=max(1, int(cores * kind.connections_per_core)),
        connection_tax=kind.connection_tax,
        key_gain=kind.key_gain,
        key_memory_s=kind.key_memory_s,
        keys_max=int(cores * kind.keys_per_core),
        report_interval_s=random.uniform(*reports.every_ms) / MS_PER_S,
        report_delay_s=random.uniform(*reports.late_ms) / MS_PER_S,
        report_noise=reports.noise,
        jam=jam_figures(scenario.boxes.jam),
    )


def jam_figures(jam: model.Jam | None) -> Jam | None:
    """Returns the figures of jams, or None if servers do not jam."""
    if jam is None:
        return None
    return Jam(jam.at, jam.over_s, jam.slower, jam.rest_s, jam.below, jam.most_s)


def box_kind(kind: model.Kind) -> BoxKind:
    """Returns how a server of a kind handles connections, errors and cancelled requests."""
    handshake_s = kind.handshake_us / US_PER_S
    return BoxKind(kind.name, handshake_s, kind.idle_s, kind.error_share, kind.cancel == "queued")
