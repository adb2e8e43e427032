"""JSON texts out of a stream of lines. No I/O, no clock.

One text a line is the rule (ndjson); a text may also come indented, over several lines. An empty line stands
between texts and never within one, so it shows one that was cut off.
"""

from __future__ import annotations

import json
import re
from typing import Any

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
DEPTH_MOST = 32  # levels of brackets; a list of servers has three
DOCUMENT_BYTES_MAX = 4 << 20  # bytes of one text


class JsonStreamParser:
    def __init__(self) -> None:
        self._lines: list[bytes] = []  # of a text that is not whole
        self._depth = 0  # brackets that it has open
        self._size = 0

    def add(self, line: bytes) -> list[Any]:
        """The text that ends with this line, if one does. Raises ValueError on what can't become any."""
        if not line.strip():
            if self._lines:
                raise ValueError("a text that was cut off")
            return []
        if not self._lines:
            try:
                return [json.loads(line)]
            except (ValueError, RecursionError):
                pass  # the first line of several, or none at all
        bare = STRING.sub(b"", line)
        self._depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        self._size += len(line)
        if b'"' in bare or not 0 <= self._depth <= DEPTH_MOST or self._size > DOCUMENT_BYTES_MAX:
            raise ValueError("no text")
        self._lines.append(line)
        if self._depth:
            return []
        text = b"\n".join(self._lines)
        self._forget()
        return [json.loads(text)]

    def add_unended(self, line: bytes | bytearray) -> list[Any]:
        """The text that is whole by this line, though its end has not come, if one is. Guards against a
        sender that writes a line's end later than the line: with its next text, or never."""
        if not line.rstrip().endswith(b"}"):
            return []
        try:
            texts = [json.loads(b"\n".join([*self._lines, line]))]
        except (ValueError, RecursionError):
            return []  # the bracket closed something within it
        self._forget()
        return texts

    def _forget(self) -> None:
        self._lines, self._depth, self._size = [], 0, 0
