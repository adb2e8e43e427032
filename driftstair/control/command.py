"""`driftstair control put|status|log`: what operators are told, and the exit status."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime
from typing import Any

import msgspec

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.control.change_file import ChangeFileError, read_change_file
from driftstair.control.client import Address, Attempt, NoAnswer, ask_in_turn, call
from driftstair.control.http import Response
from driftstair.control.merge import Answer, ServerView, StatusView, merge
from driftstair.control.status import LogPage, NodeStatus, StatusError, decode_log_page, decode_status

DONE, REFUSED, BAD_USE, UNKNOWN = 0, 1, 2, 3
LAGGING_SHOWN_MAX = 20  # nodes in the text; --json has all


def put(servers: Sequence[Address], file: str, change_set_id: str, within_s: float, as_json: bool) -> int:
    """Commits the change set of a file, on whichever server answers."""
    try:
        change_set = read_change_file(file, change_set_id)
    except ChangeFileError as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return BAD_USE
    print(f"driftstair: change set {change_set.id}", file=sys.stderr)
    body = msgspec.json.encode(change_set)
    response = ask_in_turn(servers, "POST", "/configuration/changes", body, within_s, _tell_attempt)
    if response is None:
        print(
            f"driftstair: no answer within {within_s:g} s, and whether it is committed is not known: put it "
            f"again with --id {change_set.id}",
            file=sys.stderr,
        )
        return UNKNOWN
    return _show_put(change_set, response, as_json)


def _show_put(change_set: ChangeSet, response: Response, as_json: bool) -> int:
    said = _object(response.body)
    if response.status == 200 and isinstance(said.get("revision"), int):
        if as_json:
            print(json.dumps({"id": change_set.id, "revision": said["revision"]}))
        else:
            print(f"{change_set.id}: committed, revision {said['revision']}")
        return DONE
    violations = said.get("violations")
    if as_json:
        print(json.dumps({"id": change_set.id, "status": response.status} | said))
    for one in violations if isinstance(violations, list) else []:
        print(f"driftstair: {one['resource']}: {one['where']}: {one['why']}", file=sys.stderr)
    if not violations:
        why = said.get("error") or f"status {response.status}"
        print(f"driftstair: {change_set.id}: refused: {why}", file=sys.stderr)
    return REFUSED


def _object(body: bytes) -> dict[str, Any]:
    try:
        found = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return found if isinstance(found, dict) else {}


def _tell_attempt(attempt: Attempt) -> None:
    why = attempt.problem
    if attempt.response is not None:
        why = str(_object(attempt.response.body).get("error") or f"status {attempt.response.status}")
    print(f"driftstair: {_text(attempt.address)}: {why}", file=sys.stderr)


def status(servers: Sequence[Address], as_json: bool) -> int:
    """What all servers say, as one view."""
    with ThreadPoolExecutor(len(servers)) as executor:
        answers = list(executor.map(_ask_status, servers))
    view = merge(answers)
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(view), indent=1).decode())
    else:
        _print_status(view)
    return BAD_USE if all(server.problem for server in view.servers) else DONE


def _ask_status(address: Address) -> Answer:
    try:
        response = call(address, "GET", "/configuration/status")
        if response.status != 200:
            return _text(address), f"status {response.status}"
        return _text(address), decode_status(response.body)
    except (NoAnswer, StatusError) as problem:
        return _text(address), str(problem)


def _print_status(view: StatusView) -> None:
    print(
        f"revision {view.committed}, leader {view.leader or 'none that is heard'}, {view.nodes} nodes report"
    )
    for server in view.servers:
        print(f"server {server.address}: {_server_text(server)}")
    for one in view.revisions:
        refused = f", {one.refused} refuse it" if one.refused else ""
        print(
            f"revision {one.revision} of {_time(one.created_ms)}, {one.changes} changes, "
            f"{one.change_set_id}: in force in {one.in_force} of {view.nodes}{refused}"
        )
    for node in view.lagging[:LAGGING_SHOWN_MAX]:
        print(f"node {node.node} lags: revision {node.revision}, since {node.behind_ms / 1e3:.0f} s")
    if len(view.lagging) > LAGGING_SHOWN_MAX:
        print(f"{len(view.lagging) - LAGGING_SHOWN_MAX} more nodes lag; --json names all")
    for node in view.refusing:
        _print_refused(node)
    for node in view.differing:
        print(f"node {node.node} differs: its revision {node.revision} has another content")
    if any(server.forgotten for server in view.servers):
        print(f"nodes that did not report for {view.forget_after_s} s are not counted")


def _server_text(server: ServerView) -> str:
    if server.problem:
        return server.problem
    parts = [f"{server.server}, revision {server.committed}, log from {server.oldest}"]
    parts.append(f"{server.log_bytes:,} bytes, {server.watches} watches")
    if server.is_leader:
        parts.append("leader" if not server.age_ms else "leads, but hears no majority")
    if server.age_ms:
        parts.append(f"cut off for {server.age_ms / 1e3:.0f} s")
    if server.forgotten:
        parts.append(f"{server.forgotten} nodes forgotten")
    if server.disk:
        parts.append(f"disk: {server.disk}")
    return ", ".join(parts)


def _print_refused(node: NodeStatus) -> None:
    for one in node.refused:
        print(f"node {node.node} refuses revision {one.revision}: {one.resource}: {one.reason}")


def log(servers: Sequence[Address], after: int, as_json: bool) -> int:
    """Change sets after a revision, page by page from whichever server has them."""
    while True:
        page = _ask_log(servers, after)
        if page is None:
            return BAD_USE
        if page.oldest > after:
            print(f"driftstair: the log begins after revision {page.oldest}", file=sys.stderr)
        for entry in page.change_sets:
            _print_entry(entry, as_json)
        if not page.change_sets:
            return DONE
        after = page.change_sets[-1].revision


def _ask_log(servers: Sequence[Address], after: int) -> LogPage | None:
    """From the first server that answers; None, and lines that say why, if none does."""
    for address in servers:
        try:
            response = call(address, "GET", f"/configuration/log?from={after}")
            if response.status == 200:
                return decode_log_page(response.body)
            problem = f"status {response.status}"
        except (NoAnswer, StatusError) as caught:
            problem = str(caught)
        print(f"driftstair: {_text(address)}: {problem}", file=sys.stderr)
    return None


def _print_entry(entry: LoggedChangeSet, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(entry).decode())
        return
    change_set = entry.change_set
    words = [f"-{change.key}" if change.deletes else str(change.key) for change in change_set.changes]
    print(
        f"{entry.revision} {_time(change_set.created_ms)} {change_set.id}: {' '.join(words) or 'no change'}"
    )


def _time(unix_ms: int) -> str:
    try:
        if not unix_ms:
            return "no time"  # a new leader's own set
        return datetime.fromtimestamp(unix_ms / 1e3, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    except (OverflowError, ValueError, OSError):
        return "no time"


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
