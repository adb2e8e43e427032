"""A sorted set of lines of bytes, packed: a line costs its length and some 2 bytes.

Blocks of text found by bisection over their first lines, as in `resource_table`. No line has a line feed.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

BLOCK_LINES = 64
FEED = b"\n"


class SortedLines:
    def __init__(self) -> None:
        self._blocks: list[bytes] = []  # lines in order, a line feed before and behind each
        self._firsts: list[bytes] = []  # the first line of each block
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, line: bytes) -> bool:
        """Whether it was not in it before."""
        if not self._blocks:
            self._store(0, [line], insert=True)
            self._count += 1
            return True
        index = max(bisect_right(self._firsts, line) - 1, 0)
        lines = self._lines(index)
        position = bisect_left(lines, line)
        if position < len(lines) and lines[position] == line:
            return False
        self._count += 1
        if position == len(lines) >= BLOCK_LINES and index == len(self._blocks) - 1:
            self._store(index + 1, [line], insert=True)  # lines that come in order fill their blocks
            return True
        lines.insert(position, line)
        if len(lines) > BLOCK_LINES:
            middle = len(lines) // 2
            self._store(index + 1, lines[middle:], insert=True)
            lines = lines[:middle]
        self._store(index, lines)
        return True

    def discard(self, line: bytes) -> bool:
        """Whether it was in it."""
        index = bisect_right(self._firsts, line) - 1
        if index < 0 or FEED + line + FEED not in self._blocks[index]:
            return False
        self._count -= 1
        lines = self._lines(index)
        lines.remove(line)
        if lines:
            self._store(index, lines)
        else:
            del self._blocks[index], self._firsts[index]
        return True

    def first_with(self, prefix: bytes) -> bytes | None:
        """The first line that begins so."""
        index = bisect_left(self._firsts, prefix) - 1
        for block in self._blocks[max(index, 0) : index + 2]:
            start = block.find(FEED + prefix) + 1
            if start:
                return block[start : block.index(FEED, start)]
        return None

    def all_with(self, prefix: bytes) -> Iterator[bytes]:
        """All lines that begin so, in order. The set stays as it is meanwhile."""
        index = max(bisect_left(self._firsts, prefix) - 1, 0)
        while index < len(self._blocks):
            lines = self._lines(index)
            for line in lines[bisect_left(lines, prefix) :]:
                if not line.startswith(prefix):
                    return
                yield line
            index += 1

    def first_from(self, line: bytes) -> bytes | None:
        """The first line that is not before this one."""
        index = max(bisect_right(self._firsts, line) - 1, 0)
        for place in range(index, min(index + 2, len(self._blocks))):
            lines = self._lines(place)
            position = bisect_left(lines, line)
            if position < len(lines):
                return lines[position]
        return None

    def releasing(self) -> Iterator[None]:
        """Gives its memory back in steps; the set is empty then."""
        self._count = 0
        while self._blocks:
            del self._blocks[-1], self._firsts[-1]
            yield

    def _lines(self, index: int) -> list[bytes]:
        return self._blocks[index][1:-1].split(FEED)

    def _store(self, index: int, lines: list[bytes], insert: bool = False) -> None:
        block = FEED + FEED.join(lines) + FEED
        if insert:
            self._blocks.insert(index, block)
            self._firsts.insert(index, lines[0])
        else:
            self._blocks[index] = block
            self._firsts[index] = lines[0]
