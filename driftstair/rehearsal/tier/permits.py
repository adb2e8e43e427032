"""Checks permits to be out of service, by the nodes' histories: never too many at once, and never in two
zones."""

from __future__ import annotations

from typing import Any, NamedTuple

from driftstair.rehearsal.tier.checks import NS_PER_S, Finding


class Absence(NamedTuple):
    """A time in ns during which a node was out of service by its permit, or may have been."""

    begin: int
    end: int
    node: int
    token: int


def absences(events: list[dict[str, Any]]) -> list[Absence]:
    """Returns the absences, each from the taking of a permit until it was returned or expired. A process that
    ended with a permit is out until the next process of its node begins, at most for the term of the
    permit."""
    found_absences: list[Absence] = []
    ongoing: dict[int, tuple[int, int, int]] = {}  # by node: begin, until, token

    def end_absence(node: int, at: int) -> None:
        begin, until, token = ongoing.pop(node)
        found_absences.append(Absence(begin, min(at, until), node, token))

    for event in sorted(events, key=lambda event: int(event["t_ns"])):
        node, at = event["node"], event["t_ns"]
        if event["event"] == "start" and node in ongoing:
            end_absence(node, at)
        elif event["event"] == "permit" and event["what"] == "took":
            ongoing[node] = at, event["until_ns"], event["token"]
        elif event["event"] == "permit" and event["what"] == "gave" and node in ongoing:
            end_absence(node, min(at, event["until_ns"]))
    for node in list(ongoing):
        end_absence(node, ongoing[node][1])
    return sorted(found_absences)


def check(events: list[dict[str, Any]], at_once: int, zones: dict[int, int]) -> list[Finding]:
    """Returns findings on permits. `zones` maps node numbers to zones; nodes not listed are in zone 0."""
    findings = []
    all_absences = absences(events)
    for absence in all_absences:
        concurrent = [
            other
            for other in all_absences
            if other.begin <= absence.begin < other.end and other.node != absence.node
        ]
        names = ", ".join(str(other.node) for other in concurrent)
        if len(concurrent) + 1 > at_once:
            description = f"node {absence.node} with {names}, where {at_once} may be"
            findings.append(
                Finding("too many are out by permits", absence.begin, absence.node, -1, description)
            )
        other_zones = [
            other for other in concurrent if zones.get(other.node, 0) != zones.get(absence.node, 0)
        ]
        if other_zones:
            other = other_zones[0]
            description = (
                f"node {absence.node} and node {other.node}, "
                f"for {(other.end - absence.begin) / NS_PER_S:.1f} s"
            )
            findings.append(
                Finding("two zones are out by permits", absence.begin, absence.node, other.node, description)
            )
    greatest: dict[int, int] = {}
    for absence in all_absences:
        if absence.token < greatest.get(absence.node, 0):
            description = f"token {absence.token} after {greatest[absence.node]}"
            findings.append(
                Finding("an older steward's permit was taken", absence.begin, absence.node, -1, description)
            )
        greatest[absence.node] = max(greatest.get(absence.node, 0), absence.token)
    return findings
