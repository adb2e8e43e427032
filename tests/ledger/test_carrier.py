"""The export as processes: exporters and collectors killed on the way, and the books equal the ledger."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest
from rig import run, until

from driftstair.ledger.book import Book
from driftstair.ledger.carrier import MARK_EVERY, MessageError, Segments, read, worded
from driftstair.ledger.entries import Word
from driftstair.ledger.export import Hello, Offer, Refused, Taken
from driftstair.ledger.periods import Calendar
from driftstair.ledger.segments import Store

NOON = 1_800_000_000_000  # ms


class Ledger:
    """A node's, written as its daemon does."""

    def __init__(self, folder: Path, segment: int = 64 << 10) -> None:
        folder.mkdir()
        self.folder = folder
        self._store = Store(folder, "n0", segment=segment)
        self._book = Book("n0", Calendar("UTC"), self._store.open().head)
        self._now = NOON
        self._store.append(self._book.written(self._book.begin(NOON, 50)))

    def write(self, commits: int) -> None:
        for _ in range(commits):
            self._now += 200
            for tenant in range(5):
                self._book.count(self._now, f"t{tenant}", Word.SERVED)
            self._store.append(self._book.written(self._book.commit(self._now)))

    def bytes(self) -> bytes:
        return b"".join(path.read_bytes() for path in sorted(self.folder.glob("*.ledger")))


def test_segments_are_read_from_any_line_and_while_they_grow(tmp_path: Path) -> None:
    ledger = Ledger(tmp_path / "n0")
    ledger.write(200)
    read_along = Segments(ledger.folder, "n0")
    chance = Random(5)
    for _ in range(4):
        lines = ledger.bytes().split(b"\n")[:-1]
        assert len(lines) > MARK_EVERY and len(list(ledger.folder.glob("*.ledger"))) > 1
        for _ in range(60):
            first, most = chance.randrange(1, len(lines) + 3), chance.randrange(1, 300)
            assert read_along.read(first, most) == lines[first - 1 : first - 1 + most]
        number = chance.randrange(1, len(lines))
        assert read_along.digest(number) == bytes.fromhex(lines[number - 1][:32].decode())
        assert read_along.digest(len(lines) + 1) is None
        ledger.write(50)
    last = sorted(ledger.folder.glob("*.ledger"))[-1]
    before = len(ledger.bytes().split(b"\n")) - 1
    last.write_bytes(last.read_bytes() + b"0123 half a line")  # it is being written
    assert len(read_along.read(before - 3, 100)) == 4


@pytest.mark.parametrize(
    "message",
    [Hello("n0", 7), Offer("n0", 7, 3, (b'aa {"x":"\\"1"}', b"bb")), Taken("n0", 7, 9, bytes(range(16))),
     Refused("n0", 7, "another exporter is at work", False)],
)  # fmt: skip
def test_a_message_is_one_line_and_comes_back_as_it_was(message: Hello | Offer | Taken | Refused) -> None:
    line = worded(message)
    assert line.count(b"\n") == 1 and read(line) == message


@pytest.mark.parametrize(
    "line",
    [b"", b"{", b"[]", b"null", b"{}", b'{"is":"hello"}', b'{"is":"bye","node":"n0"}', b"[" * 100_000,
     b'{"is":"hello","node":"n0","session":true}', b'{"is":"hello","node":"n0","session":1,"more":1}',
     b'{"is":"taken","node":"n0","session":1,"number":1,"digest":"zz"}',
     b'{"is":"offer","node":"n0","session":1,"first":1,"lines":[7]}', b'{"is":["hello"]}', b"\xff\xfe"],
)  # fmt: skip
def test_a_line_that_is_no_message_is_refused(line: bytes) -> None:
    with pytest.raises(MessageError):
        read(line)


class Billing:
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

    def kept(self) -> bytes:
        path = self.folder / "n0-00000001.ledger"
        return path.read_bytes() if path.exists() else b""


async def export(ledger: Ledger, billing: Billing, *more: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", "ledger", "export", str(ledger.folder), "--node", "n0",
        "--to", f"127.0.0.1:{billing.port}", *more, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip


@pytest.mark.parametrize("seed", range(3))
def test_exporters_and_collectors_are_killed_and_each_entry_is_in_the_books_once(
    tmp_path: Path, seed: int
) -> None:
    chance = Random(seed)
    ledger, billing = Ledger(tmp_path / "n0"), Billing(tmp_path / "books")
    billing.folder.mkdir()
    ledger.write(600)

    async def test() -> None:
        await billing.start()
        for _ in range(3):
            exporter, some = await export(ledger, billing), len(billing.kept())
            enough = some + chance.randrange(1, 60_000)
            while exporter.returncode is None and len(billing.kept()) < enough:
                await asyncio.sleep(0.001)
            victim = chance.randrange(3)
            if victim and exporter.returncode is None:
                exporter.kill()
            if victim != 1:
                await billing.kill()
                await billing.start()
            if not victim:
                await exporter.wait()  # it goes on by itself
            else:
                await exporter.communicate()
        last = await export(ledger, billing)
        out, err = await last.communicate()
        assert last.returncode == 0, err
        assert out.split()[-4:] == [b"are", b"in", b"the", b"books"]
        await billing.kill()

    run(test())
    assert billing.kept() == ledger.bytes()


def test_what_is_written_meanwhile_follows(tmp_path: Path) -> None:
    ledger, billing = Ledger(tmp_path / "n0"), Billing(tmp_path / "books")
    billing.folder.mkdir()

    async def test() -> None:
        await billing.start()
        first = await export(ledger, billing, "--follow")
        await until(lambda: billing.kept() == ledger.bytes())
        for _ in range(3):
            ledger.write(20)
            await until(lambda: billing.kept() == ledger.bytes())
        first.kill()
        await first.communicate()
        await billing.kill()

    run(test())


def test_nobody_there_ends_with_1_and_bad_use_with_2(tmp_path: Path) -> None:
    ledger = Ledger(tmp_path / "n0")
    for to, more, status, said in (
        ("127.0.0.1:1", ["--give-up", "0.3"], 1, "the export ended"),
        ("nowhere", [], 2, "is no address"),
        ("127.0.0.1:1", ["--node", "n9"], 2, "holds no ledger of 'n9'"),
    ):
        words = ["ledger", "export", str(ledger.folder), "--node", "n0", "--to", to, *more]
        found = subprocess.run(
            [sys.executable, "-m", "driftstair", *words], capture_output=True, text=True, timeout=60
        )
        assert found.returncode == status and said in found.stderr and len(found.stderr.splitlines()) == 1
