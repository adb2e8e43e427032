"""A packed table of the resources of one kind in the order of their names. It takes about 20 bytes per
resource beyond name and content.

A two-level B+ tree: blocks of at most BLOCK_RESOURCES_MAX resources, found by bisection over their first
names. No single operation touches more than one block, so that growth of the table causes no pauses.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from typing import NamedTuple

from driftstair.configuration.content_codec import unpack

BLOCK_RESOURCES_MAX = 128  # a block costs two objects per hundred names, and an insertion takes 3 us
SHARED_CONTENTS_MAX = 4_096  # contents that are searched for an equal one: tenants have few distinct limits
REVISION_MAX = (1 << 63) - 1
SEPARATOR = b"\n"  # can't occur in a name: names are printable


class StoredResource(NamedTuple):
    """The revision and the packed content of a resource."""

    revision: int
    packed: bytes  # the content in its stored form

    @property
    def content(self) -> bytes:
        """The canonical JSON text of the content."""
        return unpack(self.packed)


class NamedResource(NamedTuple):
    """A stored resource with its name."""

    name: str
    stored: StoredResource


class _Block:
    """A block of resources. The names are one bytes object, each between separators; revisions and contents
    have the same order."""

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
        """Removes the upper half of the resources and returns it as a new block."""
        names = self.name_list()
        middle = len(names) // 2
        upper = _Block(_join_names(names[middle:]), self.revisions[middle:], self.contents[middle:])
        self.names = _join_names(names[:middle])
        self.revisions = self.revisions[:middle]
        self.contents = self.contents[:middle]
        return upper


def _join_names(names: list[bytes]) -> bytes:
    return SEPARATOR + SEPARATOR.join(names) + SEPARATOR


class ResourceTable:
    """The resources of one kind by name."""

    def __init__(self) -> None:
        self._blocks: list[_Block] = []
        self._first_names: list[bytes] = []  # the first name of each block
        self._count = 0
        self._shared_contents: dict[bytes, bytes] = {}  # packed contents by themselves, to share equal ones

    def __len__(self) -> int:
        return self._count

    def get(self, name: str) -> StoredResource | None:
        """Returns the resource of this name, if there is one."""
        key = name.encode()
        index = bisect_right(self._first_names, key) - 1
        if index < 0:
            return None
        block = self._blocks[index]
        position = block.position(key)
        if position is None:
            return None
        return StoredResource(block.revisions[position], block.contents[position])

    def put(self, name: str, stored: StoredResource) -> None:
        """Adds a resource or replaces the one of this name."""
        key = name.encode()
        packed = self._share_content(stored.packed)
        index = max(bisect_right(self._first_names, key) - 1, 0)
        if not self._blocks:
            self._add_block(0, _Block(_join_names([key]), array("q", [stored.revision]), [packed]), key)
            return
        block = self._blocks[index]
        position = block.position(key)
        if position is not None:
            block.revisions[position] = stored.revision
            block.contents[position] = packed
            return
        self._insert(index, key, stored.revision, packed)

    def delete(self, name: str) -> bool:
        """Deletes the resource of this name. Returns whether there was one."""
        key = name.encode()
        index = bisect_right(self._first_names, key) - 1
        position = None if index < 0 else self._blocks[index].position(key)
        if position is None:
            return False
        block = self._blocks[index]
        names = block.name_list()
        del names[position], block.revisions[position], block.contents[position]
        self._count -= 1
        if not names:
            del self._blocks[index], self._first_names[index]
            return True
        block.names = _join_names(names)
        self._first_names[index] = names[0]
        return True

    def iterate_after(self, name: str | None = None) -> Iterator[NamedResource]:
        """Iterates in the order of names, starting behind `name`. A change made during the iteration may or
        may not be seen, depending on the block."""
        last_name = None if name is None else name.encode()
        while True:
            index = 0 if last_name is None else max(bisect_right(self._first_names, last_name) - 1, 0)
            rows = self._rows_after(index, last_name) or self._rows_after(index + 1, last_name)
            if not rows:
                return
            for key, revision, packed in rows:
                yield NamedResource(key.decode(), StoredResource(revision, packed))
            last_name = rows[-1][0]

    def release_in_steps(self) -> Iterator[None]:
        """Empties the table and frees its memory in steps."""
        self._count = 0
        while self._blocks:
            del self._blocks[-1], self._first_names[-1]
            yield

    def _rows_after(self, index: int, last_name: bytes | None) -> list[tuple[bytes, int, bytes]]:
        if index >= len(self._blocks):
            return []
        block = self._blocks[index]
        names = block.name_list()
        start = 0 if last_name is None else bisect_right(names, last_name)
        return list(zip(names[start:], block.revisions[start:], block.contents[start:], strict=True))

    def _insert(self, index: int, key: bytes, revision: int, packed: bytes) -> None:
        block = self._blocks[index]
        is_full = len(block.contents) >= BLOCK_RESOURCES_MAX
        is_last = index == len(self._blocks) - 1
        if is_full and is_last and block.name_list()[-1] < key:
            # Names that are added in order fill their blocks completely.
            self._add_block(index + 1, _Block(_join_names([key]), array("q", [revision]), [packed]), key)
            return
        if is_full:
            upper = block.split()
            first_name = upper.name_list()[0]
            self._blocks.insert(index + 1, upper)
            self._first_names.insert(index + 1, first_name)
            if key > first_name:
                index += 1
                block = upper
        names = block.name_list()
        position = bisect_left(names, key)
        names.insert(position, key)
        block.names = _join_names(names)
        block.revisions.insert(position, revision)
        block.contents.insert(position, packed)
        self._first_names[index] = names[0]
        self._count += 1

    def _add_block(self, index: int, block: _Block, first_name: bytes) -> None:
        self._blocks.insert(index, block)
        self._first_names.insert(index, first_name)
        self._count += 1

    def _share_content(self, packed: bytes) -> bytes:
        """Returns the object under which all equal contents are stored."""
        shared = self._shared_contents.get(packed)
        if shared is not None:
            return shared
        if len(self._shared_contents) >= SHARED_CONTENTS_MAX:
            self._shared_contents.clear()
        self._shared_contents[packed] = packed
        return packed
