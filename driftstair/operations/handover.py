"""Hand-over from an old process to the one that replaces it, through a state file and a Unix socket.

Each process listens on its own socket in the folder; each message is a line and is answered by a line:

    hello     sent by a new process: the state file is updated, and the answer passes the clients' listening
              socket (SCM_RIGHTS, unix(7)), so that no connection in its accept queue is lost
    keep      the state file is updated again, just before the new process accepts clients
    serving   the new process accepts clients and the old one stops; if this connection closes, the new
              process has failed
    changed   orders or the list of servers have changed: the file is read again before the answer
    ids       the new process wants to know which requests the old one has started: from now on each is told
              by a line `started ID`
    claim ID  the new process wants to start a request: `granted`, or `taken` if the old one may have run it

A process that was killed leaves its socket file behind; connecting to it is refused, and it is removed.

The state file holds the list of servers and what was learned of each, so it is read and written beside the
event loop, as is the folder looked through: other programs use it too.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import os
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from secrets import token_urlsafe
from typing import TYPE_CHECKING

from driftstair.operations.predecessor import CLAIM_PREFIX, PREDECESSOR_TIMEOUT_S, Predecessor, SuccessorIds
from driftstair.operations.state import State, StateError, decode, encode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from driftstair.net.system import System

log = logging.getLogger(__name__)

STATE_BYTES_MAX = 32 << 20
NOTIFY_TIMEOUT_S = 0.5  # for another process to read new orders; the caller waits at most twice that
LOCK_TIMEOUT_S = 0.5  # for a process that holds the lock and stands still; below PREDECESSOR_TIMEOUT_S
PROCESS_NONCE_BYTES = 3  # four characters, as a socket's path is limited to 107
LOCK_RETRY_PAUSE_S = 0.005


class StateStore:
    """The state file, replaced atomically and under a lock, since two processes may be called at once. All
    methods block."""

    def __init__(self, folder: Path, address: tuple[str, int], node: str = "") -> None:
        """`node`: its name; the state of another node is not used."""
        # Nodes that share a folder are told apart by their client address.
        self.name = "driftstair-" + blake2b(f"{address[0]}:{address[1]}".encode(), digest_size=6).hexdigest()
        # Not the process's number: in a container of its own the other process may have the same one.
        self._process = token_urlsafe(PROCESS_NONCE_BYTES)
        self._node = node
        self._folder = folder
        self._path = folder / f"{self.name}.state"

    def read(self) -> State:
        """The stored state; the empty state, with a warning, if it can't be read."""
        try:
            with open(self._path, "rb") as file:
                state = decode(file.read(STATE_BYTES_MAX))
        except FileNotFoundError:
            return State()
        except (OSError, StateError) as problem:
            log.warning("state file %s is ignored: %s", self._path.name, problem)
            return State()
        if self._node and state.node not in ("", self._node):
            log.warning("state file %s is ignored: it is of node %s", self._path.name, state.node)
            return State()
        return state

    def change(self, change: Callable[[State], State]) -> State:
        """Returns the changed state. Raises OSError and leaves the file unchanged."""
        with self._locked():
            state = replace(change(self.read()), node=self._node)
            temporary = self._folder / f"{self.name}.{self._process}.new"
            try:
                temporary.write_bytes(encode(state))
                temporary.replace(self._path)
            except OSError:
                temporary.unlink(missing_ok=True)
                raise
            return state

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Raises OSError, also if another process holds the lock for too long (TimeoutError)."""
        with open(self._folder / f"{self.name}.lock", "wb") as lock:
            give_up_at = time.monotonic() + LOCK_TIMEOUT_S
            while not _try_lock(lock.fileno()):
                if time.monotonic() > give_up_at:
                    raise TimeoutError(errno.ETIMEDOUT, f"another process holds {self.name}.lock")
                time.sleep(LOCK_RETRY_PAUSE_S)
            yield  # closing the file unlocks it

    def socket_path(self) -> Path:
        return self._folder / f"{self.name}.{self._process}.sock"

    def other_sockets(self) -> list[Path]:
        own_socket = self.socket_path()
        return sorted(path for path in self._folder.glob(f"{self.name}.*.sock") if path != own_socket)


def _try_lock(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def find_predecessor(store: StateStore) -> Predecessor | None:
    """Asks the processes with a socket in the folder to hand over; waits `PREDECESSOR_TIMEOUT_S` for each.
    Without one that does, returns one that stands still, if there is any. Blocks."""
    silent: Predecessor | None = None
    for path in store.other_sockets():
        predecessor = _ask_to_hand_over(path)
        if predecessor is None:
            continue
        if predecessor.listening_socket is None and silent is None:
            silent = predecessor
            continue
        if silent is not None:
            silent.close()
        return predecessor
    return silent


def _ask_to_hand_over(path: Path) -> Predecessor | None:
    """The process at a socket; None if it has ended, or can't hand over."""
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        connection.settimeout(PREDECESSOR_TIMEOUT_S)
        connection.connect(str(path))
        connection.sendall(b"hello\n")
        listening_socket = _receive_listening_socket(connection)
        if listening_socket is not None:
            return Predecessor(connection, listening_socket)
    except TimeoutError:
        log.warning("the process at socket %s stands still", path.name)
        return Predecessor(connection, None)
    except ConnectionRefusedError:
        path.unlink(missing_ok=True)  # its process has ended
    except OSError as problem:
        log.warning("the process at socket %s did not hand over: %s", path.name, problem)
    connection.close()
    return None


def _receive_listening_socket(connection: socket.socket) -> socket.socket | None:
    """The clients' listening socket, passed with the answer to `hello`. Raises OSError."""
    answer, descriptors, _, _ = socket.recv_fds(connection, 64, 1)
    return socket.socket(fileno=descriptors[0]) if answer and descriptors else None


class HandoverServer:
    """Serves the socket of this process for the other processes of the node."""

    def __init__(
        self, store: StateStore, system: System, listening_fileno: Callable[[], int],
        update_state: Callable[[], Awaitable[None]], reload_state: Callable[[], Awaitable[None]],
        on_handover: Callable[[bool], None], ids: SuccessorIds,
    ) -> None:  # fmt: skip
        self._store = store
        self._system = system
        self._listening_fileno = listening_fileno  # the descriptor of the clients' listening socket
        self._update_state = update_state  # updates the state file
        self._reload_state = reload_state  # reads the orders and the list again
        self._ids = ids
        self._on_handover = on_handover  # called with whether another process accepts the clients now
        self._server: asyncio.Server | None = None
        self._successors: set[asyncio.StreamWriter] = set()  # connections of new processes
        self._closed = False

    async def listen(self) -> None:
        """Raises OSError, also if the folder's path is too long for a socket address."""
        path = self._store.socket_path()
        path.unlink(missing_ok=True)
        self._server = await asyncio.start_unix_server(self._serve, str(path))

    def has_successor(self) -> bool:
        """Whether a new process is taking over, or has taken over."""
        return bool(self._successors)

    def close(self) -> None:
        self._closed = True
        if self._server is not None:
            self._server.close()
            self._store.socket_path().unlink(missing_ok=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        successor_serves = False
        try:
            while line := await reader.readline():
                if line == b"hello\n":
                    self._successors.add(writer)
                    await self._update_state()
                    self._pass_listening_socket(writer)
                elif line == b"keep\n":
                    await self._update_state()
                    writer.write(b"ok\n")
                elif line == b"serving\n":
                    successor_serves = True
                    self._on_handover(True)
                    writer.write(b"ok\n")
                elif line == b"changed\n":
                    await self._reload_state()
                    writer.write(b"ok\n")
                elif line == b"ids\n":
                    writer.write(b"ok\n")
                    self._ids.attach(writer)
                elif line.startswith(CLAIM_PREFIX):
                    claim = await self._ids.claim(line.removeprefix(CLAIM_PREFIX).strip())
                    writer.write(b"%s\n" % claim.value.encode())
        except (OSError, ValueError) as problem:
            log.warning("connection to another process failed: %s", problem)
        except asyncio.CancelledError:
            if not self._closed:  # the shutdown of this process is no failure of the other one
                raise
        finally:
            self._ids.detach(writer)
            self._successors.discard(writer)
            if successor_serves and not self._closed:
                self._on_handover(False)
            writer.close()

    def _pass_listening_socket(self, writer: asyncio.StreamWriter) -> None:
        # asyncio transports can't pass descriptors. Nothing else has been written on this connection.
        own_socket = writer.get_extra_info("socket")
        with socket.socket(fileno=os.dup(own_socket.fileno())) as duplicate:
            socket.send_fds(duplicate, [b"ok\n"], [self._listening_fileno()])

    async def notify_others(self) -> None:
        """Has every other process of this node read the state file."""
        paths = await self._system.run_blocking(self._store.other_sockets)
        if paths:
            await asyncio.gather(*(_notify(path) for path in paths))


async def _notify(path: Path) -> None:
    try:
        async with asyncio.timeout(NOTIFY_TIMEOUT_S):
            reader, writer = await asyncio.open_unix_connection(str(path))
            try:
                writer.write(b"changed\n")
                if await reader.readline() != b"ok\n":
                    log.warning("the process at socket %s did not read the changed state", path.name)
            finally:
                writer.close()
    except ConnectionRefusedError:
        path.unlink(missing_ok=True)
    except (OSError, TimeoutError) as problem:
        log.warning("the process at socket %s was not notified of a change: %r", path.name, problem)
