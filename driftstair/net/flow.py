"""A body on its way from whoever brings it to whoever takes it, without sockets: what is held in between,
when the one must stop and when the other may go on."""

from __future__ import annotations

from collections.abc import Callable

INLINE_MOST = 64 << 10  # bytes of a body that is passed on whole; of a longer one the first bytes are timed
LONGEST = 48 << 20  # bytes of any body; one beyond it has no end
HELD_MOST = 64 << 10  # bytes of a stream that are held before its source is stopped
HELD_WHOLE = 1 << 20  # bytes of a request's body that are held until it is whole, within the budget
BUDGET_PART = 0.25  # of the memory beyond the program's own, for such bodies
BUDGET_LEAST = 1 << 20  # bytes
PROGRAM = 32 << 20  # bytes of memory that the program itself may take
SILENCE_MOST = 12.0  # s in which a stream must get on, whichever side it waits for


def nothing() -> None:
    pass


class Budget:
    """Bytes that bodies of requests may take in all, while they are held to be whole."""

    def __init__(self, memory: int) -> None:
        self.left = max(BUDGET_LEAST, int(BUDGET_PART * (memory - PROGRAM)))

    def take(self, size: int) -> bool:
        if size > self.left:
            return False
        self.left -= size
        return True

    def give(self, size: int) -> None:
        self.left += size


class Stream:
    """Pieces in order. One side puts in and ends or breaks it; the other takes out."""

    __slots__ = (
        "_halted", "_held", "_pieces", "_was_full", "begun", "broken", "ended", "length",
        "on_more", "on_room",
    )  # fmt: skip

    def __init__(self, length: int | None = None) -> None:
        self.length = length  # in all, where it is known
        self.begun = False  # something has been taken, and can't be taken again
        self.ended = False  # all has been put in
        self.broken = False  # the rest will never come
        self.on_more: Callable[[], None] = nothing  # there is more to take, or the end
        self.on_room: Callable[[], None] = nothing  # there is room again
        self._pieces: list[bytes] = []
        self._held = 0
        self._was_full = False
        self._halted = False

    def put(self, data: bytes) -> None:
        if data and not self.broken:
            self._pieces.append(data)
            self._held += len(data)
            self.on_more()

    def end(self) -> None:
        self.ended = True
        self.on_more()

    def break_off(self) -> None:
        """The rest will never come, or nobody wants it."""
        if not self.ended and not self.broken:
            self.broken = True
            self._pieces.clear()
            self._held = 0
            self.on_more()

    def abandon(self) -> None:
        """Nobody takes any more: whoever brings it is told by `on_room`."""
        self.on_more = nothing
        if not self.broken:
            self.broken = True
            self._pieces.clear()
            self._held = 0
            self.on_room()

    def take(self) -> bytes:
        """All that is held. `passed_on` is due once it is on its way."""
        data = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        if data:
            self.begun = True
            self._pieces.clear()
            self._was_full |= self.is_full()
            self._held = 0
        return data

    def passed_on(self) -> None:
        """What was taken is on its way, so more may come at once. Guards against pieces that overtake one
        another: told within `take`, the source would put in more, and that would go out first."""
        if self._was_full and not self.is_full():
            self._was_full = False
            self.on_room()

    def halt(self, halted: bool) -> None:
        """Whether what was taken is held up on its way. Guards against a source that goes on bringing
        what its taker has to hold twice, here and before the socket: 500 KB for each slow reader."""
        self._halted = halted
        self._was_full |= halted

    def is_full(self) -> bool:
        return self._halted or self._held >= HELD_MOST

    def is_done(self) -> bool:
        """All has been put in and taken out."""
        return self.ended and not self._held


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def size(body: bytes | Stream) -> int | None:
    """Bytes in all, where that is known."""
    return body.length if isinstance(body, Stream) else len(body)


LAST_CHUNK = b"0\r\n\r\n"
