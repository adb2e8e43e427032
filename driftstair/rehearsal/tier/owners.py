"""Checks tasks that one node at a time owns, by the nodes' histories and the faults on the nodes."""

from __future__ import annotations

from typing import Any, NamedTuple

from driftstair.rehearsal.tier.checks import NS_PER_S, Finding, RunRecord
from driftstair.rehearsal.tier.linear import Operation, find_violation

FOREVER = 1 << 62
Lease = tuple[int, int, int, int]
"""Begin and recorded end of a lease in ns, its token and the owner's number."""


def leases(events: list[dict[str, Any]]) -> dict[str, list[Lease]]:
    """Returns the leases of each task in the order of time. A lease lasts until the owner's clock ended it,
    whenever that was recorded. One whose end its process did not live to record lasts until the next process
    of that node begins."""
    leases_by_task: dict[str, list[Lease]] = {}
    ongoing: dict[tuple[str, int], tuple[int, int]] = {}

    def end_lease(task: str, node: int, at: int) -> None:
        begin, token = ongoing.pop((task, node))
        leases_by_task.setdefault(task, []).append((begin, at, token, node))

    for event in sorted(events, key=lambda event: int(event["t_ns"])):
        node, at = event["node"], event["t_ns"]
        if event["event"] in ("start", "end"):
            for task, holder in list(ongoing):
                if holder == node:
                    end_lease(task, node, at)
        elif event["event"] == "own":
            ongoing[event["task"], node] = at, event["token"]
        elif event["event"] == "lost" and (event["task"], node) in ongoing:
            end_lease(event["task"], node, event["over_ns"])
    for task, node in list(ongoing):
        end_lease(task, node, FOREVER)
    return {task: sorted(task_leases) for task, task_leases in leases_by_task.items()}


def check(events: list[dict[str, Any]], record: RunRecord) -> list[Finding]:
    """Reports tokens that do not rise and leases of a task that overlap. An overlap is excused where the
    first owner was stopped or dead: it can't have recorded the end, and its later actions carried an old
    token."""
    findings = []
    for task, task_leases in leases(events).items():
        greatest, previous = 0, None
        for lease in task_leases:
            begin, _, token, node = lease
            if token <= greatest:
                description = f"{task}: {token} after {greatest}"
                findings.append(Finding("a token does not rise", begin, node, -1, description))
            greatest = max(greatest, token)
            if (
                previous is not None
                and previous[3] != node
                and begin < previous[1]
                and not _is_excused(record, previous, begin)
            ):
                description = (
                    f"{task}: node {previous[3]} had it until {(previous[1] - begin) / NS_PER_S:.3f} s later"
                )
                findings.append(Finding("a task has two owners", begin, node, previous[3], description))
            if previous is None or lease[1] >= previous[1]:
                previous = lease
    return findings


def _is_excused(record: RunRecord, lease: Lease, at: int) -> bool:
    """Whether the owner did not run when the next lease began, or was killed before, so that the end was
    never recorded."""
    return any(
        fault.begin <= at <= fault.end + NS_PER_S
        for fault in record.faults_of(lease[3])
        if fault.apart is None
    )


class LeaseStep(NamedTuple):
    """A step of a task: `own`, `over` or `act`, with the node and its token."""

    what: str
    node: int
    token: int


def next_lease_state(state: tuple[int, int], step: LeaseStep) -> tuple[int, int] | None:
    """The state machine of a lease. The state is the owner (-1: none) and the greatest token so far."""
    holder, greatest = state
    if step.what == "own":
        return (step.node, step.token) if holder < 0 and step.token > greatest else None
    if (holder, greatest) != (step.node, step.token):
        return None
    return (-1, greatest) if step.what == "over" else state


def lease_steps(events: list[dict[str, Any]]) -> dict[str, list[Operation[LeaseStep]]]:
    """Returns the steps of each task as operations with the time spans in which they may have taken effect.

    A lease begins between its owner's previous event on the task and the event that records it. It ends at
    the time that its owner records, or at an unknown time if the owner was killed. An act lies between the
    previous act, or the begin of the lease, and its own event, which may be recorded after the end of the
    lease.
    """
    steps_by_task: dict[str, list[Operation[LeaseStep]]] = {}
    last_event_at: dict[tuple[str, int], int] = {}  # time of the node's last event on the task
    last_own_or_act_at: dict[tuple[str, int], int] = {}  # the same without events that end a lease
    ongoing: dict[tuple[str, int], tuple[int, int]] = {}  # begin and token

    def end_lease(task: str, node: int, at: int) -> None:
        begin, token = ongoing.pop((task, node))
        steps_by_task[task].append(Operation(begin, at, LeaseStep("over", node, token)))

    for event in sorted(events, key=lambda event: int(event["t_ns"])):
        node, at, event_name = event["node"], event["t_ns"], event["event"]
        if event_name in ("start", "end"):
            for task, holder in list(ongoing):
                if holder == node:
                    end_lease(task, node, at)
            for task in steps_by_task:
                last_event_at[task, node] = at
        elif event_name in ("own", "lost", "act"):
            task, token = event["task"], event["token"]
            task_steps = steps_by_task.setdefault(task, [])
            if event_name == "own":
                task_steps.append(
                    Operation(last_event_at.get((task, node), -FOREVER), at, LeaseStep("own", node, token))
                )
                ongoing[task, node] = at, token
            elif event_name == "lost" and (task, node) in ongoing:
                end_lease(task, node, event["over_ns"])
            elif event_name == "act":
                task_steps.append(
                    Operation(
                        last_own_or_act_at.get((task, node), -FOREVER), at, LeaseStep("act", node, token)
                    )
                )
            if event_name != "lost":
                last_own_or_act_at[task, node] = at
            last_event_at[task, node] = at
    for task, node in list(ongoing):
        end_lease(task, node, FOREVER)
    return steps_by_task


def check_linearizable(events: list[dict[str, Any]]) -> list[Finding]:
    """Reports tasks whose leases and acts could not have followed one another as on one machine."""
    findings = []
    for task, operations in lease_steps(events).items():
        violation = find_violation(operations, (-1, 0), next_lease_state)
        if violation is not None:
            what, node, token = violation.what
            description = f"{task}: {what} with token {token} fits into no order"
            findings.append(Finding("leases follow no order", violation.end, node, -1, description))
    return findings
