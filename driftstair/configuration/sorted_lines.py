"""A packed, sorted set of byte lines. A line costs its length and about 2 bytes.

The lines are stored in blocks that are found by bisection over their first lines, as in `resource_table`.
Lines contain no line feed.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

BLOCK_LINES_MAX = 64
LINE_FEED = b"\n"


class SortedLines:
    """A sorted set of byte lines."""

    def __init__(self) -> None:
        self._blocks: list[bytes] = []  # sorted lines, with a line feed before and behind each
        self._first_lines: list[bytes] = []  # the first line of each block
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, line: bytes) -> bool:
        """Adds a line. Returns whether it was missing before."""
        if not self._blocks:
            self._store_block(0, [line], insert=True)
            self._count += 1
            return True
        index = max(bisect_right(self._first_lines, line) - 1, 0)
        lines = self._block_lines(index)
        position = bisect_left(lines, line)
        if position < len(lines) and lines[position] == line:
            return False
        self._count += 1
        if position == len(lines) >= BLOCK_LINES_MAX and index == len(self._blocks) - 1:
            # Lines that are added in order fill their blocks completely.
            self._store_block(index + 1, [line], insert=True)
            return True
        lines.insert(position, line)
        if len(lines) > BLOCK_LINES_MAX:
            middle = len(lines) // 2
            self._store_block(index + 1, lines[middle:], insert=True)
            lines = lines[:middle]
        self._store_block(index, lines)
        return True

    def discard(self, line: bytes) -> bool:
        """Removes a line if it is present. Returns whether it was."""
        index = bisect_right(self._first_lines, line) - 1
        if index < 0 or LINE_FEED + line + LINE_FEED not in self._blocks[index]:
            return False
        self._count -= 1
        lines = self._block_lines(index)
        lines.remove(line)
        if lines:
            self._store_block(index, lines)
        else:
            del self._blocks[index], self._first_lines[index]
        return True

    def first_with_prefix(self, prefix: bytes) -> bytes | None:
        """Returns the first line with this prefix."""
        index = bisect_left(self._first_lines, prefix) - 1
        for block in self._blocks[max(index, 0) : index + 2]:
            start = block.find(LINE_FEED + prefix) + 1
            if start:
                return block[start : block.index(LINE_FEED, start)]
        return None

    def all_with_prefix(self, prefix: bytes) -> Iterator[bytes]:
        """Yields all lines with this prefix in order. The set must not change during the iteration."""
        index = max(bisect_left(self._first_lines, prefix) - 1, 0)
        while index < len(self._blocks):
            lines = self._block_lines(index)
            for line in lines[bisect_left(lines, prefix) :]:
                if not line.startswith(prefix):
                    return
                yield line
            index += 1

    def first_at_or_after(self, line: bytes) -> bytes | None:
        """Returns the first line that is equal to or greater than this one."""
        index = max(bisect_right(self._first_lines, line) - 1, 0)
        for block_index in range(index, min(index + 2, len(self._blocks))):
            lines = self._block_lines(block_index)
            position = bisect_left(lines, line)
            if position < len(lines):
                return lines[position]
        return None

    def release_in_steps(self) -> Iterator[None]:
        """Empties the set and frees its memory in steps."""
        self._count = 0
        while self._blocks:
            del self._blocks[-1], self._first_lines[-1]
            yield

    def _block_lines(self, index: int) -> list[bytes]:
        return self._blocks[index][1:-1].split(LINE_FEED)

    def _store_block(self, index: int, lines: list[bytes], insert: bool = False) -> None:
        block = LINE_FEED + LINE_FEED.join(lines) + LINE_FEED
        if insert:
            self._blocks.insert(index, block)
            self._first_lines.insert(index, lines[0])
        else:
            self._blocks[index] = block
            self._first_lines[index] = lines[0]
