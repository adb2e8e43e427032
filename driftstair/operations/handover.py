"""From an old process to the one that replaces it: a file of what is kept, and a Unix socket beside it.

Each process listens on a socket of its own in the folder; one line is one message, answered by a line:

    hello     a new process is here: what is kept is brought up to date, and the clients' listening socket
              goes with the answer (SCM_RIGHTS, unix(7)): what waits in its queue is lost to nobody
    keep      what is kept is brought up to date again, just before the new process takes clients
    serving   the new process takes clients, the old one no more; should this connection end, it has failed
    changed   orders have changed: the file is read again before the answer

A process that was killed leaves its socket behind; nobody answers there, and it is removed.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import socket
from collections.abc import Callable
from contextlib import contextmanager, suppress
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING

from driftstair.operations.state import State, StateError, decode, encode

if TYPE_CHECKING:
    from collections.abc import Iterator

log = logging.getLogger(__name__)

STATE_MOST = 32 << 20  # bytes
PATIENCE = 1.0  # s for the old process to answer a new one
TOLD_WITHIN = 0.5  # s for another process to take new orders in; the caller waits for at most twice that


class Store:
    """The file, changed as a whole and under a lock, since two processes may be called at once."""

    def __init__(self, folder: Path, address: tuple[str, int]) -> None:
        # Where nodes share a folder, the address that clients are served on tells them apart.
        self.name = "driftstair-" + blake2b(f"{address[0]}:{address[1]}".encode(), digest_size=6).hexdigest()
        self._folder = folder
        self._path = folder / f"{self.name}.state"

    def read(self) -> State:
        """What is kept; nothing, if it can't be read, which is said."""
        try:
            with open(self._path, "rb") as file:
                return decode(file.read(STATE_MOST))
        except FileNotFoundError:
            return State()
        except (OSError, StateError) as problem:
            log.warning("%s is not used: %s", self._path.name, problem)
            return State()

    def change(self, change: Callable[[State], State]) -> State:
        """Raises OSError; the file is as before then."""
        with self._locked():
            state = change(self.read())
            aside = self._folder / f"{self.name}.{os.getpid()}.new"
            try:
                aside.write_bytes(encode(state))
                aside.replace(self._path)
            except OSError:
                aside.unlink(missing_ok=True)
                raise
            return state

    @contextmanager
    def _locked(self) -> Iterator[None]:
        with open(self._folder / f"{self.name}.lock", "wb") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield  # closing the file unlocks it

    def socket_path(self) -> Path:
        return self._folder / f"{self.name}.{os.getpid()}.sock"

    def others(self) -> list[Path]:
        own = self.socket_path()
        return sorted(path for path in self._folder.glob(f"{self.name}.*.sock") if path != own)


class Predecessor:
    """The old process, as the new one sees it."""

    def __init__(self, link: socket.socket, listening: socket.socket) -> None:
        self._link = link
        self.listening = listening

    async def keep(self) -> None:
        """Have what is kept brought up to date. It goes on taking clients meanwhile."""
        await self._ask(b"keep\n")

    async def serving(self) -> None:
        """Tell it that clients are taken here. Said once that is so: guards against a moment, long where a
        machine is busy, in which neither takes any. The link stays open for as long as that holds."""
        await self._ask(b"serving\n")

    async def _ask(self, line: bytes) -> None:
        self._link.setblocking(False)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(PATIENCE):
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(self._link, line)
                await loop.sock_recv(self._link, 64)


def find_predecessor(store: Store) -> Predecessor | None:
    """Ask whoever stands in the folder to hand over; waits for `PATIENCE` at most for each."""
    for path in store.others():
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            link.settimeout(PATIENCE)
            link.connect(str(path))
            link.sendall(b"hello\n")
            said, handles, _, _ = socket.recv_fds(link, 64, 1)
            if said and handles:
                return Predecessor(link, socket.socket(fileno=handles[0]))
        except ConnectionRefusedError:
            path.unlink(missing_ok=True)  # nobody is behind it any more
        except OSError as problem:
            log.warning("the process behind %s hands nothing over: %s", path.name, problem)
        link.close()
    return None


class Link:
    """The socket of this process for those beside it."""

    def __init__(
        self, store: Store, listening: Callable[[], int], keep: Callable[[], None],
        changed: Callable[[], None], handed: Callable[[bool], None],
    ) -> None:  # fmt: skip
        self._store = store
        self._listening = listening  # the descriptor of the clients' listening socket
        self._keep = keep  # bring what is kept up to date
        self._changed = changed  # orders are to be read again
        self._handed = handed  # whether another process takes the clients now
        self._server: asyncio.Server | None = None
        self._closed = False

    async def listen(self) -> None:
        """Raises OSError, also where the folder's path is too long for a socket."""
        path = self._store.socket_path()
        path.unlink(missing_ok=True)
        self._server = await asyncio.start_unix_server(self._serve, str(path))

    def close(self) -> None:
        self._closed = True
        if self._server is not None:
            self._server.close()
            self._store.socket_path().unlink(missing_ok=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = False
        try:
            while line := await reader.readline():
                if line == b"hello\n":
                    self._keep()
                    self._hand_over(writer)
                elif line == b"keep\n":
                    self._keep()
                    writer.write(b"ok\n")
                elif line == b"serving\n":
                    serving = True
                    self._handed(True)
                    writer.write(b"ok\n")
                elif line == b"changed\n":
                    self._changed()
                    writer.write(b"ok\n")
        except (OSError, ValueError) as problem:
            log.warning("the link to another process ended: %s", problem)
        except asyncio.CancelledError:
            if not self._closed:  # the end of this process is no failure of the other one's
                raise
        finally:
            if serving and not self._closed:
                self._handed(False)
            writer.close()

    def _hand_over(self, writer: asyncio.StreamWriter) -> None:
        # The loop's transports can't send descriptors; nothing else has been written on this connection.
        own = writer.get_extra_info("socket")
        with socket.socket(fileno=os.dup(own.fileno())) as plain:
            socket.send_fds(plain, [b"ok\n"], [self._listening()])

    async def tell_others(self) -> None:
        """Have every other process of this node take the orders in, before its caller is answered."""
        paths = self._store.others()
        if paths:
            await asyncio.gather(*(_tell(path) for path in paths))


async def _tell(path: Path) -> None:
    try:
        async with asyncio.timeout(TOLD_WITHIN):
            reader, writer = await asyncio.open_unix_connection(str(path))
            try:
                writer.write(b"changed\n")
                if await reader.readline() != b"ok\n":
                    log.warning("the process behind %s did not take new orders", path.name)
            finally:
                writer.close()
    except ConnectionRefusedError:
        path.unlink(missing_ok=True)
    except (OSError, TimeoutError) as problem:
        log.warning("the process behind %s was not told of new orders: %r", path.name, problem)
