"""A fake of the billing service that receives the export of nodes: a collector that writes each line to a
file before it acknowledges it, and continues from the file after a restart.

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
from driftstair.ledger.segment_reader import read_lines


class LedgerFiles:
    """One file per node, with its lines in order of arrival. An incomplete last line, left by a process that
    was killed, is truncated."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.heads: dict[str, Head] = {}
        for path in sorted(folder.glob("*-00000001.ledger")):
            head, complete_bytes = Head(), 0
            for line in read_lines(path):
                if not line.endswith(b"\n"):
                    break
                _, head = head.read_next(line[:-1])
                complete_bytes += len(line)
            os.truncate(path, complete_bytes)
            self.heads[path.name.removesuffix("-00000001.ledger")] = head

        self.tokens = {
            path.name.removesuffix(".token"): int(path.read_text()) for path in folder.glob("*.token")
        }

    def store_token(self, node: str, token: int) -> None:
        """Stores a node's token durably."""
        temporary = self._folder / f"{node}.new"
        with open(temporary, "w", encoding="ascii") as file:
            file.write(str(token))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._folder / f"{node}.token")

    def append_lines(self, node: str, entries: list[Entry], new_lines: Sequence[bytes]) -> None:
        """Appends new lines durably to a node's file."""
        with open(self._folder / f"{node}-00000001.ledger", "ab") as file:
            file.write(b"".join(line + b"\n" for line in new_lines))
            file.flush()
            os.fsync(file.fileno())


async def serve(folder: Path, port: int = 0, lease_ms: int = SESSION_LEASE_MS) -> None:
    """Accepts export connections until cancelled, and prints the port first."""
    ledger_files = LedgerFiles(folder)
    collector = Collector(
        ledger_files.append_lines, ledger_files.heads, lease_ms, ledger_files.tokens, ledger_files.store_token
    )

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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

    server = await asyncio.start_server(handle_connection, "127.0.0.1", port, limit=MAX_MESSAGE_BYTES)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(Path(sys.argv[1]), *(int(word) for word in sys.argv[2:4])))
