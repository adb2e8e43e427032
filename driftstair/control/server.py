"""One control server: its HTTP interface for nodes, operators and the other control servers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from driftstair.configuration.change_sets import CHANGE_SET_BYTES_MAX, LoggedChangeSet
from driftstair.configuration.messages import LINE_BYTES_MAX, MessageError, decode_report
from driftstair.control.http import HttpError, Request, Response
from driftstair.control.http_server import HttpConnection, HttpServer
from driftstair.control.puts import PutHandler
from driftstair.control.replica_runner import REPLICATION_BYTES_MAX, ReplicaRunner
from driftstair.control.reports import FORGET_AFTER_S, NodeReports, ReportError
from driftstair.control.settings import ServerSettings
from driftstair.control.status import FORMAT, LogPage, LogStatus, RevisionStatus, ServerStatus
from driftstair.control.watchers import Watchers, parse_revision
from driftstair.net.system import bind_listening_socket

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1_024  # connections; all watches may connect at the same time
RECENT_REVISIONS_MAX = 10  # shown in a status
LOG_PAGE_ENTRIES = 200
LOG_PAGE_BYTES = 1 << 20


class Route(NamedTuple):
    """The method, the limit of the body and the handler of a path."""

    method: str
    body_bytes_max: int
    respond: Callable[[HttpConnection, Request], Awaitable[Response | None]]


class ControlServer:
    """Listens once `start` is called. Has to be constructed in a running event loop."""

    def __init__(self, settings: ServerSettings, runner: ReplicaRunner) -> None:
        loop = asyncio.get_running_loop()
        self.settings = settings
        self.runner = runner
        self.watchers = Watchers(runner, settings.snapshot_rate)
        self.reports = NodeReports(loop.time(), runner.committed, digest_text(runner.state.digest))
        self.put_handler = PutHandler(runner)
        self._loop = loop
        self._server: asyncio.Server | None = None
        self._http = HttpServer(self._respond, self._body_bytes_max)
        self._routes = {
            "/replication": Route("POST", REPLICATION_BYTES_MAX, self._handle_replication),
            "/configuration": Route("GET", 0, self._handle_watch),
            "/configuration/changes": Route("POST", CHANGE_SET_BYTES_MAX, self._handle_put),
            "/configuration/reports": Route("POST", LINE_BYTES_MAX, self._handle_report),
            "/configuration/status": Route("GET", 0, self._handle_status),
            "/configuration/log": Route("GET", 0, self._handle_log),
        }
        runner.on_committed = self._on_committed
        runner.on_restored = self._on_restored
        runner.on_resigned = self.put_handler.on_resigned

    async def start(self) -> tuple[str, int]:
        """Starts listening and returns the address. Raises OSError."""
        listening_socket = bind_listening_socket(self.settings.listen, LISTEN_BACKLOG)
        self._server = await self._loop.create_server(self._http.new_connection, sock=listening_socket)
        host, port = listening_socket.getsockname()[:2]
        return host, port

    async def close(self) -> None:
        """Closes all connections and stops the replica."""
        if self._server is not None:
            self._server.close()
        self.watchers.close()
        self._http.close()
        await self.runner.close()

    # Callbacks of the replica.

    def _on_committed(self, logged: LoggedChangeSet) -> None:
        digest = digest_text(self.runner.state.digest)
        self.reports.on_committed(self._loop.time(), logged.revision, digest)
        self.put_handler.on_committed(logged.change_set)
        self.watchers.on_committed()

    def _on_restored(self) -> None:
        digest = digest_text(self.runner.state.digest)
        self.reports.on_committed(self._loop.time(), self.runner.committed, digest)
        self.put_handler.on_restored(self.runner.state)
        self.watchers.on_committed()

    # Requests.

    def _body_bytes_max(self, path: str) -> int:
        route = self._routes.get(path)
        return 0 if route is None else route.body_bytes_max

    async def _respond(self, connection: HttpConnection, request: Request) -> Response | None:
        route = self._routes.get(request.path)
        if route is None:
            raise HttpError(404, f"no such path: {request.path[:80]!r}")
        if request.method != route.method:
            raise HttpError(405, f"{request.path}: {route.method} would do, not {request.method[:20]}")
        return await route.respond(connection, request)

    async def _handle_watch(self, connection: HttpConnection, request: Request) -> None:
        if request.query.get("watch") != "1":
            raise HttpError(400, "watch: wants watch=1")
        self.watchers.start_watch(connection, request)

    async def _handle_put(self, _: HttpConnection, request: Request) -> Response:
        response = await self.put_handler.put(request)
        if response.status >= 400:
            log.info(
                "%s: put not committed: status %d, %s", request.peer, response.status, response.body[:300]
            )
        return response

    async def _handle_report(self, _: HttpConnection, request: Request) -> Response:
        try:
            self.reports.on_report(self._loop.time(), decode_report(request.body))
        except (MessageError, ReportError) as problem:
            raise HttpError(400, f"report: {problem}") from None
        return Response(204)

    async def _handle_replication(self, _: HttpConnection, request: Request) -> Response:
        self.runner.receive(request)
        return Response(204)

    async def _handle_status(self, _: HttpConnection, __: Request) -> Response:
        return Response(200, msgspec.json.encode(self.status()))

    def status(self) -> ServerStatus:
        """The current status of this server."""
        runner = self.runner
        recent = runner.entries(
            max(runner.oldest, runner.committed - RECENT_REVISIONS_MAX), RECENT_REVISIONS_MAX
        )
        return ServerStatus(
            format=FORMAT,
            server=self.settings.name,
            number=self.settings.own_number,
            count=self.settings.count,
            leader=runner.leader,
            age_ms=runner.age_ms(),
            digest=digest_text(runner.state.digest),
            resources=len(runner.state),
            log=LogStatus(runner.oldest, runner.committed, runner.disk_bytes, runner.disk_problem),
            watches=len(self.watchers),
            watches_ahead=self.watchers.count_ahead(),
            recent=tuple(_revision_status(entry) for entry in recent),
            nodes=self.reports.nodes(self._loop.time(), runner.committed),
            forgotten=self.reports.forgotten,
            forget_after_s=FORGET_AFTER_S,
        )

    async def _handle_log(self, _: HttpConnection, request: Request) -> Response:
        runner = self.runner
        after = max(parse_revision(request.query, "from"), runner.oldest)
        entries: list[LoggedChangeSet] = []
        size = 0
        for entry in runner.entries(after, LOG_PAGE_ENTRIES) if after < runner.committed else ():
            size += len(msgspec.json.encode(entry))
            if entries and size > LOG_PAGE_BYTES:
                break
            entries.append(entry)
        page = LogPage(runner.oldest, runner.committed, tuple(entries))
        return Response(200, msgspec.json.encode(page))


def _revision_status(entry: LoggedChangeSet) -> RevisionStatus:
    change_set = entry.change_set
    return RevisionStatus(entry.revision, change_set.id, change_set.created_ms, len(change_set.changes))


def digest_text(digest: int) -> str:
    """Formats a digest as nodes report it."""
    return f"{digest:016x}"
