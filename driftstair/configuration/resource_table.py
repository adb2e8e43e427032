"""Resources of one kind in order of their names, packed: 20 bytes or so a resource beyond name and content.

A two-level B+ tree: blocks of at most BLOCK_NAMES resources, found by bisection over their first names. No
single step touches more than one block, so there is no pause for a table that grows.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from typing import NamedTuple

from driftstair.configuration.content_codec import unpack

BLOCK_NAMES = 128  # resources in one block: two block objects a hundred names, 3 us to put one name in
SHARED_CONTENTS_MAX = 4_096  # contents that equal ones are looked for among: tenants have few plans
REVISION_MAX = (1 << 63) - 1
SEPARATOR = b"\n"  # no name has it: names are printable


class StoredResource(NamedTuple):
    revision: int
    packed: bytes  # the content as it is kept

    @property
    def content(self) -> bytes:
        return unpack(self.packed)


class NamedResource(NamedTuple):
    name: str
    stored: StoredResource


class _Block:
    """Names in one piece of bytes, each between separators; revisions and contents in the same order."""

    __slots__ = ("contents", "names", "revisions")

    def __init__(self, names: bytes, revisions: array[int], contents: list[bytes]) -> None:
        self.names = names
        self.revisions = revisions
        self.contents = contents

    def position(self, name: bytes) -> int | None:
        start = self.names.find(SEPARATOR + name + SEPARATOR)
        return None if start < 0 else self.names.count(SEPARATOR, 0, start)

    def name_list(self) -> list[bytes]:
        return self.names[1:-1].split(SEPARATOR)

    def split(self) -> _Block:
        """Gives the upper half away."""
        names = self.name_list()
        middle = len(names) // 2
        upper = _Block(_joined(names[middle:]), self.revisions[middle:], self.contents[middle:])
        self.names = _joined(names[:middle])
        self.revisions = self.revisions[:middle]
        self.contents = self.contents[:middle]
        return upper


def _joined(names: list[bytes]) -> bytes:
    return SEPARATOR + SEPARATOR.join(names) + SEPARATOR


class ResourceTable:
    """Resources of one kind by name."""

    def __init__(self) -> None:
        self._blocks: list[_Block] = []
        self._firsts: list[bytes] = []  # the first name of each block
        self._count = 0
        self._shared: dict[bytes, bytes] = {}  # packed contents that may come again

    def __len__(self) -> int:
        return self._count

    def get(self, name: str) -> StoredResource | None:
        key = name.encode()
        index = bisect_right(self._firsts, key) - 1
        if index < 0:
            return None
        block = self._blocks[index]
        position = block.position(key)
        if position is None:
            return None
        return StoredResource(block.revisions[position], block.contents[position])

    def put(self, name: str, stored: StoredResource) -> None:
        key = name.encode()
        packed = self._share(stored.packed)
        index = max(bisect_right(self._firsts, key) - 1, 0)
        if not self._blocks:
            self._add_block(0, _Block(_joined([key]), array("q", [stored.revision]), [packed]), key)
            return
        block = self._blocks[index]
        position = block.position(key)
        if position is not None:
            block.revisions[position] = stored.revision
            block.contents[position] = packed
            return
        self._insert(index, key, stored.revision, packed)

    def delete(self, name: str) -> bool:
        """Whether there was one."""
        key = name.encode()
        index = bisect_right(self._firsts, key) - 1
        position = None if index < 0 else self._blocks[index].position(key)
        if position is None:
            return False
        block = self._blocks[index]
        names = block.name_list()
        del names[position], block.revisions[position], block.contents[position]
        self._count -= 1
        if not names:
            del self._blocks[index], self._firsts[index]
            return True
        block.names = _joined(names)
        self._firsts[index] = names[0]
        return True

    def after(self, name: str | None = None) -> Iterator[NamedResource]:
        """In the order of names, from behind one. Changes in between are seen or not, block by block."""
        last = None if name is None else name.encode()
        while True:
            index = 0 if last is None else max(bisect_right(self._firsts, last) - 1, 0)
            rows = self._rows_after(index, last) or self._rows_after(index + 1, last)
            if not rows:
                return
            for key, revision, packed in rows:
                yield NamedResource(key.decode(), StoredResource(revision, packed))
            last = rows[-1][0]

    def releasing(self) -> Iterator[None]:
        """Gives its memory back in steps; the table is empty then."""
        self._count = 0
        while self._blocks:
            del self._blocks[-1], self._firsts[-1]
            yield

    def _rows_after(self, index: int, last: bytes | None) -> list[tuple[bytes, int, bytes]]:
        if index >= len(self._blocks):
            return []
        block = self._blocks[index]
        names = block.name_list()
        start = 0 if last is None else bisect_right(names, last)
        return list(zip(names[start:], block.revisions[start:], block.contents[start:], strict=True))

    def _insert(self, index: int, key: bytes, revision: int, packed: bytes) -> None:
        block = self._blocks[index]
        is_full = len(block.contents) >= BLOCK_NAMES
        is_last = index == len(self._blocks) - 1
        if is_full and is_last and block.name_list()[-1] < key:
            # Names that come in order fill their blocks.
            self._add_block(index + 1, _Block(_joined([key]), array("q", [revision]), [packed]), key)
            return
        if is_full:
            upper = block.split()
            first = upper.name_list()[0]
            self._blocks.insert(index + 1, upper)
            self._firsts.insert(index + 1, first)
            if key > first:
                index += 1
                block = upper
        names = block.name_list()
        position = bisect_left(names, key)
        names.insert(position, key)
        block.names = _joined(names)
        block.revisions.insert(position, revision)
        block.contents.insert(position, packed)
        self._firsts[index] = names[0]
        self._count += 1

    def _add_block(self, index: int, block: _Block, first: bytes) -> None:
        self._blocks.insert(index, block)
        self._firsts.insert(index, first)
        self._count += 1

    def _share(self, packed: bytes) -> bytes:
        """The one object that all equal contents are kept as."""
        found = self._shared.get(packed)
        if found is not None:
            return found
        if len(self._shared) >= SHARED_CONTENTS_MAX:
            self._shared.clear()
        self._shared[packed] = packed
        return packed
