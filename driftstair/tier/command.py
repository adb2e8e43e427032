"""`driftstair tier`: prints a running node's report as text or JSON, and sends orders to the node."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import quote

from rich.console import Console
from rich.table import Table

from driftstair.hosts import ListError, parse_address
from driftstair.tier.service import FORMAT

ANSWER_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 4 << 20
EXIT_OK, EXIT_UNAVAILABLE, EXIT_NO_ANSWER = 0, 1, 2
PERMIT_POLL_INTERVAL_S = 0.5


class RequestError(Exception):
    """A request to the node failed; the text says why, in one line."""


class UnavailableError(RequestError):
    """The node is in no tier, or its tier has no such part."""


class OrderRefusedError(RequestError):
    """The node can't carry out the order; nothing has changed."""


def send_request(host: str, port: int, method: str, path: str) -> tuple[int, Any]:
    """Returns the status and the decoded body, None if the body is not JSON. Raises RequestError."""
    connection = HTTPConnection(host, port, timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, path, headers={"Connection": "close"})
        answer = connection.getresponse()
        body = answer.read(MAX_ANSWER_BYTES)
    except TimeoutError:
        raise RequestError(f"no answer within {ANSWER_TIMEOUT_S:g} s") from None
    except OSError as error:
        raise RequestError(f"can't be asked: {error.strerror or error}") from None
    except HTTPException as error:
        raise RequestError(f"gives no HTTP answer: {type(error).__name__}") from None
    finally:
        connection.close()
    try:
        return answer.status, json.loads(body)
    except (ValueError, RecursionError):
        return answer.status, None


def fetch_report(host: str, port: int) -> dict[str, Any]:
    """Returns the node's report on its tier. Raises RequestError."""
    status, report = send_request(host, port, "GET", "/control/tier")
    if status == 404:
        raise UnavailableError("this node is in no tier; [tier] in its service file would put it into one")
    if status != 200 or not isinstance(report, dict) or report.get("format") != FORMAT:
        raise RequestError(f"gives no {FORMAT}, but status {status}")
    return report


def send_order(host: str, port: int, *segments: str) -> dict[str, Any]:
    """Has the node carry out an order on the tier and returns its answer. Raises RequestError."""
    path = "/control/tier/" + "/".join(quote(segment, safe="") for segment in segments)
    status, answer = send_request(host, port, "POST", path)
    if not isinstance(answer, dict):
        raise RequestError(f"gives no answer to an order, but status {status}")
    if status == 404:
        raise UnavailableError(str(answer.get("error", "there is no such order")))
    if status != 200:
        raise OrderRefusedError(str(answer.get("error", f"status {status}")))
    return answer


def _run_at(address: str, action: Callable[[str, int], int]) -> int:
    """Returns the exit status: that of `action(host, port)`, or that of its error, which is printed."""
    try:
        host, port = parse_address(address)
    except ListError:
        print(f"driftstair: {address}: no address; HOST:PORT would do", file=sys.stderr)
        return EXIT_NO_ANSWER
    try:
        return action(host, port)
    except RequestError as error:
        print(f"driftstair: {address}: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE if isinstance(error, UnavailableError | OrderRefusedError) else EXIT_NO_ANSWER


def show(address: str, as_json: bool, part: str = "members") -> int:
    """Prints a part of the node's report; returns the exit status."""
    return _run_at(address, lambda host, port: _show(fetch_report(host, port), as_json, part))


def _show(report: dict[str, Any], as_json: bool, part: str) -> int:
    """Raises UnavailableError if the report does not have the part."""
    shared = report.get("shared") or {}
    if part == "state":
        report = shared
        if not report:
            tables = "[tier.budgets], [tier.permits] or judge = true in its service file"
            raise UnavailableError(f"this node shares nothing; {tables} would do")
    elif part != "members":
        key = {"owners": "tasks"}.get(part, part)
        if key not in shared:
            raise UnavailableError(f"this node knows of no {part}")
        report = shared[key]
    if as_json:
        json.dump(report, sys.stdout, indent=1, sort_keys=True)
        print()
    else:
        {
            "members": _print_members, "state": _print_state, "owners": _print_owners,
            "permits": _print_permits,
        }[part](report, Console())  # fmt: skip
    return EXIT_OK


def permit(address: str, purpose: str, within_s: float) -> int:
    """Waits for a permit to be out; returns the exit status. Without one within `within_s` the request is
    withdrawn."""
    return _run_at(address, lambda host, port: _permit(host, port, purpose, within_s))


def _permit(host: str, port: int, purpose: str, within_s: float) -> int:
    deadline_s, is_held = time.monotonic() + within_s, False
    try:
        while True:
            answer = send_order(host, port, "permit", purpose)
            is_held = answer.get("state") == "held"
            if is_held:
                print(f"may be out for a {purpose}, for {answer['left_s']:.0f} s")
                return EXIT_OK
            if time.monotonic() >= deadline_s:
                why = answer.get("why") or "no steward has answered"
                raise OrderRefusedError(
                    f"no permit within {within_s:g} s: {why}; {answer['before']} go before it"
                )
            time.sleep(PERMIT_POLL_INTERVAL_S)
    finally:
        if not is_held:  # also if the operator interrupts the command
            send_order(host, port, "permit", "none")


def give_back(address: str) -> int:
    """Gives the node's permit back, or withdraws its request for one; returns the exit status."""

    def send(host: str, port: int) -> int:
        send_order(host, port, "permit", "none")
        print("in service; nothing is wanted or held")
        return EXIT_OK

    return _run_at(address, send)


def hand_over(address: str, task: str, node: str) -> int:
    """Hands a task of the node over to another node; returns the exit status."""

    def send(host: str, port: int) -> int:
        answer = send_order(host, port, "owners", task, "hand-over", node)
        print(f"{task}: the lease {answer['over']} is over, node {node} is asked to take it")
        return EXIT_OK

    return _run_at(address, send)


def release(address: str, task: str, token: str) -> int:
    """Releases a task of the node to the next node that asks; returns the exit status."""

    def send(host: str, port: int) -> int:
        answer = send_order(host, port, "owners", task, "release", token)
        print(f"{task}: the lease {answer['over']} is over")
        return EXIT_OK

    return _run_at(address, send)


def _print_members(report: dict[str, Any], console: Console) -> None:
    node = report["node"]
    summary = f"node {node['number']}, {node['state']}, incarnation {node['incarnation']}"
    summary += f", doubt {node['health']}"
    if node["alone"]:
        summary += "; nobody answers it"
    if node["superseded"]:
        summary += "; another process has its number, and it is out of the tier"
    console.print(summary, highlight=False)
    table = Table(box=None, pad_edge=False, header_style="dim")
    for column in ("node", "state", "for s", "zone", "heard s ago", "round trip ms", "why"):
        table.add_column(column, justify="left" if column in ("state", "why") else "right")
    for member in report["members"]:
        round_trip_s = member["round_trip_s"]
        table.add_row(
            str(member["number"]), member["state"], f"{member['held_s']:.0f}", str(member["zone"]),
            "" if member["heard_s"] is None else f"{member['heard_s']:.1f}",
            "" if round_trip_s is None else f"{round_trip_s * 1e3:.1f}", _suspicion(member),
        )  # fmt: skip
    console.print(table)
    counts = ", ".join(f"{name} {number}" for name, number in report["counts"].items() if number)
    console.print(counts, style="dim", highlight=False)


def _print_budgets(budgets: dict[str, Any], console: Console) -> None:
    table = Table(box=None, pad_edge=False, header_style="dim")
    for column in ("budget", "per s", "held", "own", "lent", "borrowed", "wanted", "saved", "denied"):
        table.add_column(column, justify="left" if column == "budget" else "right")
    for name, budget in budgets.items():
        rates = ("per_s", "held_per_s", "home_per_s", "lent_per_s", "borrowed_per_s", "wanted_per_s", "saved")
        table.add_row(name, *(f"{budget[key]:.2f}" for key in rates), str(budget["denied"]))
    console.print(table)


def _print_state(report: dict[str, Any], console: Console) -> None:
    if report["budgets"]:
        _print_budgets(report["budgets"], console)
    if "state" in report:
        table = Table(box=None, pad_edge=False, header_style="dim")
        for column in ("zone", "nodes", "heard of", "answers/s", "in flight", "s old", "finding all bad"):
            table.add_column(column, justify="right")
        for zone, load in report["state"].items():
            table.add_row(
                zone, str(load["nodes"]), str(load["heard"]), str(load["per_s"]), str(load["in_flight"]),
                f"{load['oldest_s']:.1f}", ", ".join(map(str, load["finding_all_bad"])),
            )  # fmt: skip
        console.print(table)
        for verdict in report["held_back"]:
            reporters = ", ".join(map(str, verdict["reporters"]))
            console.print(f"{verdict['server']} is held back: found bad by {reporters}", highlight=False)
    for server, attempts in report.get("in_flight", {}).items():
        text = f"{server}: {attempts['at_least']} attempts out or more, by {attempts['by']} nodes"
        console.print(text, highlight=False)
    _print_owners(report.get("tasks", {}), console)
    if "permits" in report:
        _print_permits(report["permits"], console)
    if report["counts"]:
        counts = ", ".join(f"{name} {number}" for name, number in report["counts"].items())
        console.print(counts, style="dim", highlight=False)


def _print_owners(tasks: dict[str, Any], console: Console) -> None:
    for name, task in tasks.items():
        owner = "nobody that this node knows of" if task["owner"] is None else f"node {task['owner']}"
        console.print(f"{name}: {owner}, token {task['token']}", highlight=False)


def _print_permits(report: dict[str, Any], console: Console) -> None:
    states = {"none": "no permit is wanted here", "wanted": "a permit is wanted", "held": "may be out"}
    summary = states[report["state"]] + (f" for a {report['for']}" if report["for"] else "")
    if report["state"] == "held":
        summary += f", for {report['left_s']:.0f} s"
    elif report["state"] == "wanted":
        summary += f": {report['why'] or 'nobody has answered'}, {report['before']} before it"
    console.print(summary, highlight=False)
    disruption_controller = (
        "nobody that this node knows of" if report["steward"] is None else f"node {report['steward']}"
    )
    rules = f"{report['at_once']} at once, for {report['term_s']:g} s at most"
    console.print(f"steward: {disruption_controller}; {rules}", highlight=False)
    for node in report["out"]:
        zone = "of a zone that nobody knows" if node["zone"] is None else f"zone {node['zone']}"
        reason = f"for a {node['for']}" if node["for"] else "not alive, or it has not answered"
        console.print(f"node {node['node']}, {zone}, counts as out: {reason}", highlight=False)
    if report["waiting"]:
        console.print(f"waiting: {', '.join(map(str, report['waiting']))}", highlight=False)


def _suspicion(member: dict[str, Any]) -> str:
    """Why the member is held dead or suspected; empty if it is neither."""
    if member["unheard"]:
        return "nobody answers this node"
    if not member["suspected_by"]:
        return ""
    reporters = ", ".join(map(str, member["suspected_by"]))
    return f"suspected by {reporters}; dead in {member['dead_in_s']:.1f} s"
