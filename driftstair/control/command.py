"""The commands `driftstair control put|status|log`: their output and exit status."""

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
from driftstair.control.client import Address, Attempt, NoAnswerError, call, call_any
from driftstair.control.http import Response
from driftstair.control.merge import ServerAnswer, ServerView, StatusView, merge
from driftstair.control.status import LogPage, NodeStatus, StatusError, decode_log_page, decode_status

EXIT_DONE, EXIT_REFUSED, EXIT_BAD_USE, EXIT_UNKNOWN = 0, 1, 2, 3
LAGGING_SHOWN_MAX = 20  # nodes in the text output; --json lists all of them


def put_change_set(
    servers: Sequence[Address], file: str, change_set_id: str, timeout_s: float, as_json: bool
) -> int:
    """Commits the change set of a file through any server that answers. Returns the exit status."""
    try:
        change_set = read_change_file(file, change_set_id)
    except ChangeFileError as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return EXIT_BAD_USE
    print(f"driftstair: change set {change_set.id}", file=sys.stderr)
    body = msgspec.json.encode(change_set)
    response = call_any(servers, "POST", "/configuration/changes", body, timeout_s, _print_attempt)
    if response is None:
        print(
            f"driftstair: no answer within {timeout_s:g} s, and whether it is committed is not known: put it "
            f"again with --id {change_set.id}",
            file=sys.stderr,
        )
        return EXIT_UNKNOWN
    return _print_put_result(change_set, response, as_json)


def _print_put_result(change_set: ChangeSet, response: Response, as_json: bool) -> int:
    answer = _decode_object(response.body)
    if response.status == 200 and isinstance(answer.get("revision"), int):
        if as_json:
            print(json.dumps({"id": change_set.id, "revision": answer["revision"]}))
        else:
            print(f"{change_set.id}: committed, revision {answer['revision']}")
        return EXIT_DONE
    violations = answer.get("violations")
    if as_json:
        print(json.dumps({"id": change_set.id, "status": response.status} | answer))
    for violation in violations if isinstance(violations, list) else []:
        print(
            f"driftstair: {violation['resource']}: {violation['where']}: {violation['why']}", file=sys.stderr
        )
    if not violations:
        why = answer.get("error") or f"status {response.status}"
        print(f"driftstair: {change_set.id}: refused: {why}", file=sys.stderr)
    return EXIT_REFUSED


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


def _print_attempt(attempt: Attempt) -> None:
    why = attempt.problem
    if attempt.response is not None:
        why = str(_decode_object(attempt.response.body).get("error") or f"status {attempt.response.status}")
    print(f"driftstair: {_address_text(attempt.address)}: {why}", file=sys.stderr)


def show_status(servers: Sequence[Address], as_json: bool) -> int:
    """Prints the merged status of all servers. Returns the exit status."""
    with ThreadPoolExecutor(len(servers)) as executor:
        answers = list(executor.map(_fetch_status, servers))
    view = merge(answers)
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(view), indent=1).decode())
    else:
        _print_status(view)
    return EXIT_BAD_USE if all(server.problem for server in view.servers) else EXIT_DONE


def _fetch_status(address: Address) -> ServerAnswer:
    try:
        response = call(address, "GET", "/configuration/status")
        if response.status != 200:
            return _address_text(address), f"status {response.status}"
        return _address_text(address), decode_status(response.body)
    except (NoAnswerError, StatusError) as problem:
        return _address_text(address), str(problem)


def _print_status(view: StatusView) -> None:
    print(
        f"revision {view.committed}, leader {view.leader or 'none that is heard'}, {view.nodes} nodes report"
    )
    for server in view.servers:
        print(f"server {server.address}: {_server_text(server)}")
    for revision in view.revisions:
        refused = f", {revision.refused} refuse it" if revision.refused else ""
        print(
            f"revision {revision.revision} of {_time_text(revision.created_ms)}, {revision.changes} changes, "
            f"{revision.change_set_id}: in force in {revision.in_force} of {view.nodes}{refused}"
        )
    for node in view.lagging[:LAGGING_SHOWN_MAX]:
        print(f"node {node.node} lags: revision {node.revision}, since {node.behind_ms / 1e3:.0f} s")
    if len(view.lagging) > LAGGING_SHOWN_MAX:
        print(f"{len(view.lagging) - LAGGING_SHOWN_MAX} more nodes lag; --json names all")
    for node in view.refusing:
        _print_refused_changes(node)
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


def _print_refused_changes(node: NodeStatus) -> None:
    for change in node.refused:
        print(f"node {node.node} refuses revision {change.revision}: {change.resource}: {change.reason}")


def show_log(servers: Sequence[Address], after: int, as_json: bool) -> int:
    """Prints the change sets after a revision, page by page, each page from the first server that answers.
    Returns the exit status."""
    while True:
        page = _fetch_log_page(servers, after)
        if page is None:
            return EXIT_BAD_USE
        if page.oldest > after:
            print(f"driftstair: the log begins after revision {page.oldest}", file=sys.stderr)
        for entry in page.change_sets:
            _print_entry(entry, as_json)
        if not page.change_sets:
            return EXIT_DONE
        after = page.change_sets[-1].revision


def _fetch_log_page(servers: Sequence[Address], after: int) -> LogPage | None:
    """A page of the log from the first server that answers. If none does, prints the reasons and returns
    None."""
    for address in servers:
        try:
            response = call(address, "GET", f"/configuration/log?from={after}")
            if response.status == 200:
                return decode_log_page(response.body)
            problem = f"status {response.status}"
        except (NoAnswerError, StatusError) as error:
            problem = str(error)
        print(f"driftstair: {_address_text(address)}: {problem}", file=sys.stderr)
    return None


def _print_entry(entry: LoggedChangeSet, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(entry).decode())
        return
    change_set = entry.change_set
    changed_keys = [f"-{change.key}" if change.deletes else str(change.key) for change in change_set.changes]
    print(
        f"{entry.revision} {_time_text(change_set.created_ms)} {change_set.id}: "
        f"{' '.join(changed_keys) or 'no change'}"
    )


def _time_text(unix_ms: int) -> str:
    try:
        if not unix_ms:
            return "no time"  # the empty change set of a new leader has none
        return datetime.fromtimestamp(unix_ms / 1e3, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    except (OverflowError, ValueError, OSError):
        return "no time"


def _address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
