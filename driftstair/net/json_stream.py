"""Parser for a stream of JSON documents. No I/O, no clock.

Usually there is one document a line (ndjson), but a document may also be indented over several lines. Empty
lines occur between documents and never within one, so an empty line there shows a truncated document.
"""

from __future__ import annotations

import json
import re
from typing import Any

JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
NESTING_DEPTH_MAX = 32  # a list of servers has three levels
DOCUMENT_BYTES_MAX = 4 << 20


class JsonStreamParser:
    """Assembles the documents of one stream from its lines."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []  # of an incomplete document
        self._depth = 0  # its open brackets
        self._size = 0

    def add(self, line: bytes) -> list[Any]:
        """The document that ends with this line, if any. Raises ValueError if none can result."""
        if not line.strip():
            if self._lines:
                raise ValueError("a text that was cut off")
            return []
        if not self._lines:
            try:
                return [json.loads(line)]
            except (ValueError, RecursionError):
                pass  # the first line of several, or invalid
        unquoted = JSON_STRING.sub(b"", line)
        self._depth += sum(map(unquoted.count, (b"{", b"["))) - sum(map(unquoted.count, (b"}", b"]")))
        self._size += len(line)
        if b'"' in unquoted or not 0 <= self._depth <= NESTING_DEPTH_MAX or self._size > DOCUMENT_BYTES_MAX:
            raise ValueError("no text")
        self._lines.append(line)
        if self._depth:
            return []
        document = b"\n".join(self._lines)
        self._reset()
        return [json.loads(document)]

    def add_unended(self, line: bytes | bytearray) -> list[Any]:
        """The document that is complete with this line, if any, though the line end has not been received: a
        sender may write it only with its next document, or never."""
        if not line.rstrip().endswith(b"}"):
            return []
        try:
            documents = [json.loads(b"\n".join([*self._lines, line]))]
        except (ValueError, RecursionError):
            return []  # the bracket closed a nested value
        self._reset()
        return documents

    def _reset(self) -> None:
        self._lines, self._depth, self._size = [], 0, 0
