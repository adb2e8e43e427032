"""`driftstair tier show`: a running node's report, for people or as it came."""

from __future__ import annotations

import json
import sys
from http.client import HTTPConnection, HTTPException
from typing import Any

from rich.console import Console
from rich.table import Table

from driftstair.hosts import ListError, parse_address
from driftstair.tier.service import FORMAT

WITHIN = 3.0  # s for an answer
ANSWER_MOST = 4 << 20  # bytes
SHOWN, NO_TIER, NO_ANSWER = 0, 1, 2


class AskError(Exception):
    """No report; the text says why, in one line."""


class NoTier(AskError):
    """The node answered that it is in none."""


def ask(host: str, port: int) -> dict[str, Any]:
    """Raises AskError."""
    connection = HTTPConnection(host, port, timeout=WITHIN)
    try:
        connection.request("GET", "/control/tier", headers={"Connection": "close"})
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
    if answer.status == 404:
        raise NoTier("this node is in no tier; [tier] in its service file would put it into one")
    try:
        found = json.loads(body)
    except (ValueError, RecursionError):
        found = None
    if answer.status != 200 or not isinstance(found, dict) or found.get("format") != FORMAT:
        raise AskError(f"gives no {FORMAT}, but status {answer.status}")
    return found


def show(address: str, as_json: bool, part: str = "members") -> int:
    try:
        host, port = parse_address(address)
    except ListError:
        print(f"driftstair: {address}: no address; HOST:PORT would do", file=sys.stderr)
        return NO_ANSWER
    try:
        found = ask(host, port)
    except AskError as problem:
        print(f"driftstair: {address}: {problem}", file=sys.stderr)
        return NO_TIER if isinstance(problem, NoTier) else NO_ANSWER
    if part == "state":
        found = found.get("shared") or {}
        if not found:
            why = "this node shares nothing; [tier.budgets] or judge = true in its service file would do"
            print(f"driftstair: {address}: {why}", file=sys.stderr)
            return NO_TIER
    if as_json:
        json.dump(found, sys.stdout, indent=1, sort_keys=True)
        print()
    elif part == "state":
        _print_state(found, Console())
    else:
        _print(found, Console())
    return SHOWN


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
    for task, one in found.get("tasks", {}).items():
        who = "nobody that this node knows of" if one["owner"] is None else f"node {one['owner']}"
        console.print(f"{task}: {who}, token {one['token']}", highlight=False)
    if found["counts"]:
        counts = ", ".join(f"{name} {number}" for name, number in found["counts"].items())
        console.print(counts, style="dim", highlight=False)


def _why(one: dict[str, Any]) -> str:
    if one["unheard"]:
        return "nobody answers this node"
    if not one["suspected_by"]:
        return ""
    by = ", ".join(map(str, one["suspected_by"]))
    return f"suspected by {by}; dead in {one['dead_in_s']:.1f} s"
