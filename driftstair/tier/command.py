"""`driftstair tier show`: a running node's report, for people or as it came."""

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

WITHIN = 3.0  # s for an answer
ANSWER_MOST = 4 << 20  # bytes
SHOWN, NO_TIER, NO_ANSWER = 0, 1, 2
LOOK_EVERY = 0.5  # s between two looks for a permit


class AskError(Exception):
    """No report; the text says why, in one line."""


class NoTier(AskError):
    """The node answered that it is in none."""


class Refused(AskError):
    """The node answered that it can't; nothing has changed."""


def call(host: str, port: int, method: str, path: str) -> tuple[int, Any]:
    """Status, and what was said as JSON; None where that is none. Raises AskError."""
    connection = HTTPConnection(host, port, timeout=WITHIN)
    try:
        connection.request(method, path, headers={"Connection": "close"})
        answer = connection.getresponse()
        body = answer.read(ANSWER_MOST)
    except TimeoutError:
        raise AskError(f"no answer within {WITHIN:g} s") from None
    except OSError as problem:
        raise AskError(f"can't be asked: {problem.strerror or problem}") from None
    except HTTPException as problem:
        raise AskError(f"gives no HTTP answer: {type(problem).__name__}") from None
    finally:
        connection.close()
    try:
        return answer.status, json.loads(body)
    except (ValueError, RecursionError):
        return answer.status, None


def ask(host: str, port: int) -> dict[str, Any]:
    """Raises AskError."""
    status, found = call(host, port, "GET", "/control/tier")
    if status == 404:
        raise NoTier("this node is in no tier; [tier] in its service file would put it into one")
    if status != 200 or not isinstance(found, dict) or found.get("format") != FORMAT:
        raise AskError(f"gives no {FORMAT}, but status {status}")
    return found


def order(host: str, port: int, *words: str) -> dict[str, Any]:
    """An order on the tier carried out: what is said of it. Raises AskError."""
    path = "/control/tier/" + "/".join(quote(word, safe="") for word in words)
    status, found = call(host, port, "POST", path)
    if not isinstance(found, dict):
        raise AskError(f"gives no answer to an order, but status {status}")
    if status == 404:
        raise NoTier(str(found.get("error", "there is no such order")))
    if status != 200:
        raise Refused(str(found.get("error", f"status {status}")))
    return found


def _at(address: str, what: Callable[[str, int], int]) -> int:
    """The exit status: that of `what(host, port)`, or of why it is none, said in a line."""
    try:
        host, port = parse_address(address)
    except ListError:
        print(f"driftstair: {address}: no address; HOST:PORT would do", file=sys.stderr)
        return NO_ANSWER
    try:
        return what(host, port)
    except AskError as problem:
        print(f"driftstair: {address}: {problem}", file=sys.stderr)
        return NO_TIER if isinstance(problem, NoTier | Refused) else NO_ANSWER


def show(address: str, as_json: bool, part: str = "members") -> int:
    return _at(address, lambda host, port: _show(ask(host, port), as_json, part))


def _show(found: dict[str, Any], as_json: bool, part: str) -> int:
    """Raises AskError."""
    shared = found.get("shared") or {}
    if part == "state":
        found = shared
        if not found:
            would = "[tier.budgets], [tier.permits] or judge = true in its service file"
            raise NoTier(f"this node shares nothing; {would} would do")
    elif part != "members":
        key = {"owners": "tasks"}.get(part, part)
        if key not in shared:
            raise NoTier(f"this node knows of no {part}")
        found = shared[key]
    if as_json:
        json.dump(found, sys.stdout, indent=1, sort_keys=True)
        print()
    else:
        {"members": _print, "state": _print_state, "owners": _print_owners, "permits": _print_permits}[part](
            found, Console()
        )
    return SHOWN


def permit(address: str, what: str, within: float) -> int:
    """Wait for a permit to be out; 1: there was none within so many s, and it is wanted no more."""
    return _at(address, lambda host, port: _permit(host, port, what, within))


def _permit(host: str, port: int, what: str, within: float) -> int:
    until, held = time.monotonic() + within, False
    try:
        while True:
            found = order(host, port, "permit", what)
            held = found.get("state") == "held"
            if held:
                print(f"may be out for a {what}, for {found['left_s']:.0f} s")
                return SHOWN
            if time.monotonic() >= until:
                why = found.get("why") or "no steward has answered"
                raise Refused(f"no permit within {within:g} s: {why}; {found['before']} go before it")
            time.sleep(LOOK_EVERY)
    finally:
        if not held:  # also where somebody has no patience any more
            order(host, port, "permit", "none")


def give_back(address: str) -> int:
    def do(host: str, port: int) -> int:
        order(host, port, "permit", "none")
        print("in service; nothing is wanted or held")
        return SHOWN

    return _at(address, do)


def hand_over(address: str, task: str, node: str) -> int:
    def do(host: str, port: int) -> int:
        found = order(host, port, "owners", task, "hand-over", node)
        print(f"{task}: the lease {found['over']} is over, node {node} is asked to take it")
        return SHOWN

    return _at(address, do)


def release(address: str, task: str, token: str) -> int:
    def do(host: str, port: int) -> int:
        found = order(host, port, "owners", task, "release", token)
        print(f"{task}: the lease {found['over']} is over")
        return SHOWN

    return _at(address, do)


def _print(found: dict[str, Any], console: Console) -> None:
    node = found["node"]
    about = f"node {node['number']}, {node['state']}, incarnation {node['incarnation']}"
    about += f", doubt {node['health']}"
    if node["alone"]:
        about += "; nobody answers it"
    if node["superseded"]:
        about += "; another process has its number, and it is out of the tier"
    console.print(about, highlight=False)
    table = Table(box=None, pad_edge=False, header_style="dim")
    for column in ("node", "state", "for s", "zone", "heard s ago", "round trip ms", "why"):
        table.add_column(column, justify="left" if column in ("state", "why") else "right")
    for one in found["members"]:
        trip = one["round_trip_s"]
        table.add_row(
            str(one["number"]), one["state"], f"{one['held_s']:.0f}", str(one["zone"]),
            "" if one["heard_s"] is None else f"{one['heard_s']:.1f}",
            "" if trip is None else f"{trip * 1e3:.1f}", _why(one),
        )  # fmt: skip
    console.print(table)
    counts = ", ".join(f"{name} {number}" for name, number in found["counts"].items() if number)
    console.print(counts, style="dim", highlight=False)


def _print_budgets(budgets: dict[str, Any], console: Console) -> None:
    table = Table(box=None, pad_edge=False, header_style="dim")
    for column in ("budget", "per s", "held", "own", "lent", "borrowed", "wanted", "saved", "denied"):
        table.add_column(column, justify="left" if column == "budget" else "right")
    for name, one in budgets.items():
        rates = ("per_s", "held_per_s", "home_per_s", "lent_per_s", "borrowed_per_s", "wanted_per_s", "saved")
        table.add_row(name, *(f"{one[key]:.2f}" for key in rates), str(one["denied"]))
    console.print(table)


def _print_state(found: dict[str, Any], console: Console) -> None:
    if found["budgets"]:
        _print_budgets(found["budgets"], console)
    if "state" in found:
        table = Table(box=None, pad_edge=False, header_style="dim")
        for column in ("zone", "nodes", "heard of", "answers/s", "in flight", "s old", "finding all bad"):
            table.add_column(column, justify="right")
        for zone, one in found["state"].items():
            table.add_row(
                zone, str(one["nodes"]), str(one["heard"]), str(one["per_s"]), str(one["in_flight"]),
                f"{one['oldest_s']:.1f}", ", ".join(map(str, one["finding_all_bad"])),
            )  # fmt: skip
        console.print(table)
        for one in found["held_back"]:
            by = ", ".join(map(str, one["reporters"]))
            console.print(f"{one['server']} is held back: found bad by {by}", highlight=False)
    for server, one in found.get("in_flight", {}).items():
        told = f"{server}: {one['at_least']} attempts out or more, by {one['by']} nodes"
        console.print(told, highlight=False)
    _print_owners(found.get("tasks", {}), console)
    if "permits" in found:
        _print_permits(found["permits"], console)
    if found["counts"]:
        counts = ", ".join(f"{name} {number}" for name, number in found["counts"].items())
        console.print(counts, style="dim", highlight=False)


def _print_owners(tasks: dict[str, Any], console: Console) -> None:
    for task, one in tasks.items():
        who = "nobody that this node knows of" if one["owner"] is None else f"node {one['owner']}"
        console.print(f"{task}: {who}, token {one['token']}", highlight=False)


def _print_permits(found: dict[str, Any], console: Console) -> None:
    said = {"none": "no permit is wanted here", "wanted": "a permit is wanted", "held": "may be out"}
    about = said[found["state"]] + (f" for a {found['for']}" if found["for"] else "")
    if found["state"] == "held":
        about += f", for {found['left_s']:.0f} s"
    elif found["state"] == "wanted":
        about += f": {found['why'] or 'nobody has answered'}, {found['before']} before it"
    console.print(about, highlight=False)
    disruption_controller = (
        "nobody that this node knows of" if found["steward"] is None else f"node {found['steward']}"
    )
    rules = f"{found['at_once']} at once, for {found['term_s']:g} s at most"
    console.print(f"steward: {disruption_controller}; {rules}", highlight=False)
    for one in found["out"]:
        zone = "of a zone that nobody knows" if one["zone"] is None else f"zone {one['zone']}"
        why = f"for a {one['for']}" if one["for"] else "not alive, or it has not answered"
        console.print(f"node {one['node']}, {zone}, counts as out: {why}", highlight=False)
    if found["waiting"]:
        console.print(f"waiting: {', '.join(map(str, found['waiting']))}", highlight=False)


def _why(one: dict[str, Any]) -> str:
    if one["unheard"]:
        return "nobody answers this node"
    if not one["suspected_by"]:
        return ""
    by = ", ".join(map(str, one["suspected_by"]))
    return f"suspected by {by}; dead in {one['dead_in_s']:.1f} s"
