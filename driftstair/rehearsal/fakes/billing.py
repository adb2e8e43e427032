"""The billing side, as far as a node's export sees it: a collector that keeps each line in a file before it
acknowledges it, and goes on from there in its next life.

    python -m driftstair.rehearsal.fakes.billing FOLDER [PORT [LEASE_MS]]     # prints the port it listens on
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from driftstair.ledger.book import Head
from driftstair.ledger.carrier import MAX_MESSAGE_BYTES, MessageError, decode_message, encode_message
from driftstair.ledger.entries import Entry
from driftstair.ledger.export import SESSION_LEASE_MS, Collector
from driftstair.ledger.segments import read_lines


class Books:
    """One file a node, of the lines as they came. A line begun when a life ended is cut off."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.heads: dict[str, Head] = {}
        for path in sorted(folder.glob("*-00000001.ledger")):
            head, whole = Head(), 0
            for line in read_lines(path):
                if not line.endswith(b"\n"):
                    break
                _, head = head.read_next(line[:-1])
                whole += len(line)
            os.truncate(path, whole)
            self.heads[path.name.removesuffix("-00000001.ledger")] = head

        self.tokens = {
            path.name.removesuffix(".token"): int(path.read_text()) for path in folder.glob("*.token")
        }

    def claimed(self, node: str, token: int) -> None:
        new = self._folder / f"{node}.new"
        with open(new, "w", encoding="ascii") as file:
            file.write(str(token))
            file.flush()
            os.fsync(file.fileno())
        new.replace(self._folder / f"{node}.token")

    def keep(self, node: str, entries: list[Entry], fresh: Sequence[bytes]) -> None:
        with open(self._folder / f"{node}-00000001.ledger", "ab") as file:
            file.write(b"".join(line + b"\n" for line in fresh))
            file.flush()
            os.fsync(file.fileno())


async def serve(folder: Path, port: int = 0, lease: int = SESSION_LEASE_MS) -> None:
    books = Books(folder)
    collector = Collector(books.keep, books.heads, lease, books.tokens, books.claimed)

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = decode_message(await reader.readuntil(b"\n"))
                for answer in collector.receive(time.monotonic_ns() // 1_000_000, message):
                    writer.write(encode_message(answer))
                await writer.drain()
        except (OSError, MessageError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(talk, "127.0.0.1", port, limit=MAX_MESSAGE_BYTES)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(Path(sys.argv[1]), *(int(word) for word in sys.argv[2:4])))
