"""Tests the export between processes: exporters and collectors are killed, and the stored ledger equals the
original."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest
from rig import run, until

from driftstair.ledger.book import Book
from driftstair.ledger.carrier import (
    INDEX_INTERVAL_LINES,
    LedgerReader,
    MessageError,
    decode_message,
    encode_message,
)
from driftstair.ledger.entries import UsageWord
from driftstair.ledger.export import Hello, Offer, Refused, Taken
from driftstair.ledger.periods import Calendar
from driftstair.ledger.segments import Store

NOON_MS = 1_800_000_000_000


class NodeLedger:
    """A node's ledger, written as its daemon does."""

    def __init__(self, folder: Path, max_segment_bytes: int = 64 << 10) -> None:
        folder.mkdir()
        self.folder = folder
        self._store = Store(folder, "n0", max_segment_bytes=max_segment_bytes)
        self._book = Book("n0", Calendar("UTC"), self._store.open().head)
        self._now_ms = NOON_MS
        self._store.append(self._book.encode_and_confirm(self._book.begin(NOON_MS, 50)))

    def write(self, commits: int) -> None:
        """Writes commits with five entries each."""
        for _ in range(commits):
            self._now_ms += 200
            for tenant in range(5):
                self._book.count(self._now_ms, f"t{tenant}", UsageWord.SERVED)
            self._store.append(self._book.encode_and_confirm(self._book.commit(self._now_ms)))

    def bytes(self) -> bytes:
        """Returns the bytes of all segments."""
        return b"".join(path.read_bytes() for path in sorted(self.folder.glob("*.ledger")))


def test_reader_returns_any_range_of_lines_while_the_ledger_grows(tmp_path: Path) -> None:
    ledger = NodeLedger(tmp_path / "n0")
    ledger.write(200)
    reader = LedgerReader(ledger.folder, "n0")
    random = Random(5)
    for _ in range(4):
        lines = ledger.bytes().split(b"\n")[:-1]
        assert len(lines) > INDEX_INTERVAL_LINES and len(list(ledger.folder.glob("*.ledger"))) > 1
        for _ in range(60):
            first, max_lines = random.randrange(1, len(lines) + 3), random.randrange(1, 300)
            assert reader.read(first, max_lines) == lines[first - 1 : first - 1 + max_lines]
        number = random.randrange(1, len(lines))
        assert reader.digest(number) == bytes.fromhex(lines[number - 1][:32].decode())
        assert reader.digest(len(lines) + 1) is None
        ledger.write(50)
    newest = sorted(ledger.folder.glob("*.ledger"))[-1]
    complete_lines = len(ledger.bytes().split(b"\n")) - 1
    newest.write_bytes(newest.read_bytes() + b"0123 half a line")  # still being written
    assert len(reader.read(complete_lines - 3, 100)) == 4


@pytest.mark.parametrize(
    "message",
    [Hello("n0", 7), Offer("n0", 7, 3, (b'aa {"x":"\\"1"}', b"bb")), Taken("n0", 7, 9, bytes(range(16))),
     Refused("n0", 7, "another exporter is at work", False)],
)  # fmt: skip
def test_message_is_one_line_and_is_decoded_unchanged(message: Hello | Offer | Taken | Refused) -> None:
    line = encode_message(message)
    assert line.count(b"\n") == 1 and decode_message(line) == message


@pytest.mark.parametrize(
    "line",
    [b"", b"{", b"[]", b"null", b"{}", b'{"is":"hello"}', b'{"is":"bye","node":"n0"}', b"[" * 100_000,
     b'{"is":"hello","node":"n0","session":true}', b'{"is":"hello","node":"n0","session":1,"more":1}',
     b'{"is":"taken","node":"n0","session":1,"number":1,"digest":"zz"}',
     b'{"is":"offer","node":"n0","session":1,"first":1,"lines":[7]}', b'{"is":["hello"]}', b"\xff\xfe"],
)  # fmt: skip
def test_invalid_message_is_rejected(line: bytes) -> None:
    with pytest.raises(MessageError):
        decode_message(line)


class BillingProcess:
    """The collector's process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port = 0
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "driftstair.rehearsal.fakes.billing", str(self.folder), str(self.port),
            "200", stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stdout is not None
        self.port = int(await self.process.stdout.readline())

    async def kill(self) -> None:
        self.process.kill()
        await self.process.wait()

    def stored(self) -> bytes:
        """Returns the lines that the collector has stored."""
        path = self.folder / "n0-00000001.ledger"
        return path.read_bytes() if path.exists() else b""


async def start_export(
    ledger: NodeLedger, billing: BillingProcess, *options: str
) -> asyncio.subprocess.Process:
    """Starts an export as its own process."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", "ledger", "export", str(ledger.folder), "--node", "n0",
        "--to", f"127.0.0.1:{billing.port}", *options, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip


@pytest.mark.parametrize("seed", range(3))
def test_each_entry_is_stored_once_though_exporters_and_collectors_are_killed(
    tmp_path: Path, seed: int
) -> None:
    random = Random(seed)
    ledger, billing = NodeLedger(tmp_path / "n0"), BillingProcess(tmp_path / "books")
    billing.folder.mkdir()
    ledger.write(600)

    async def test() -> None:
        await billing.start()
        for _ in range(3):
            exporter, stored_before = await start_export(ledger, billing), len(billing.stored())
            kill_at_bytes = stored_before + random.randrange(1, 60_000)
            while exporter.returncode is None and len(billing.stored()) < kill_at_bytes:
                await asyncio.sleep(0.001)
            victim = random.randrange(3)
            if victim and exporter.returncode is None:
                exporter.kill()
            if victim != 1:
                await billing.kill()
                await billing.start()
            if not victim:
                await exporter.wait()  # it reconnects by itself
            else:
                await exporter.communicate()
        final = await start_export(ledger, billing)
        out, err = await final.communicate()
        assert final.returncode == 0, err
        assert out.split()[-4:] == [b"are", b"in", b"the", b"books"]
        await billing.kill()

    run(test())
    assert billing.stored() == ledger.bytes()


def test_export_with_follow_continues_with_new_entries(tmp_path: Path) -> None:
    ledger, billing = NodeLedger(tmp_path / "n0"), BillingProcess(tmp_path / "books")
    billing.folder.mkdir()

    async def test() -> None:
        await billing.start()
        exporter = await start_export(ledger, billing, "--follow")
        await until(lambda: billing.stored() == ledger.bytes())
        for _ in range(3):
            ledger.write(20)
            await until(lambda: billing.stored() == ledger.bytes())
        exporter.kill()
        await exporter.communicate()
        await billing.kill()

    run(test())


def test_absent_collector_exits_with_1_and_bad_use_with_2(tmp_path: Path) -> None:
    ledger = NodeLedger(tmp_path / "n0")
    for address, options, status, message in (
        ("127.0.0.1:1", ["--give-up", "0.3"], 1, "the export ended"),
        ("nowhere", [], 2, "is no address"),
        ("127.0.0.1:1", ["--node", "n9"], 2, "holds no ledger of 'n9'"),
    ):
        arguments = ["ledger", "export", str(ledger.folder), "--node", "n0", "--to", address, *options]
        result = subprocess.run(
            [sys.executable, "-m", "driftstair", *arguments], capture_output=True, text=True, timeout=60
        )
        assert (
            result.returncode == status and message in result.stderr and len(result.stderr.splitlines()) == 1
        )
