"""Finds where the heads and bodies of HTTP requests end in the bytes of a connection.

The parser builds objects from each header line as it reads it, which take some 36 times
the memory of a short line. Knowing the ends first lets a server bound what it hands to
the parser. The parser stays the authority on what the bytes mean.
"""

__all__ = ["ChunkScanner", "FramingError", "find_head_end"]

import enum
import re

# Both line ends that the parser may accept.
HEAD_END = re.compile(rb"\n\r?\n")
HEAD_END_OVERLAP = 2
CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")
MAX_CHUNK_LINE_BYTES = 4096
CHUNK_END = b"\r\n"


class FramingError(Exception):
    """A body is not framed as HTTP says, or its framing exceeds a limit."""


def find_head_end(data: bytearray, searched: int = 0) -> int:
    r"""Return the index behind the empty line that ends a head; -1 if it has none yet.

    Args:
        data: Bytes that begin with the head.
        searched: Number of bytes in which an earlier call found no end.

    Example:
        >>> find_head_end(bytearray(b"GET / HTTP/1.1\r\n\r\nrest"))
        18
    """
    end = HEAD_END.search(data, max(0, searched - HEAD_END_OVERLAP))
    return -1 if end is None else end.end()


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    TRAILERS = enum.auto()
    COMPLETE = enum.auto()


class ChunkScanner:
    """Finds the end of a body in chunks, and drops its trailers.

    Trailers concern a single connection only, and the parser would keep them.

    Args:
        max_trailer_bytes: Maximum size of all trailers.

    Attributes:
        body_bytes: Number of bytes of the body so far, without their framing.
    """

    def __init__(self, *, max_trailer_bytes: int):
        self.body_bytes = 0
        self._max_trailer_bytes = max_trailer_bytes
        self._state = _State.SIZE
        self._left = 0
        self._trailer_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was found."""
        return self._state is _State.COMPLETE

    def feed(self, data: bytearray) -> bytes:
        """Remove bytes of the body from data, and return them without trailers.

        An incomplete line is left in the data. Cost: linear in the size of the data.

        Args:
            data: Bytes that continue the body; what follows its end is left.

        Raises:
            FramingError: The framing is invalid or exceeds a limit.
        """
        position = 0
        kept = []
        while not self.is_complete:
            step = self._step(data, position)
            if step is None:
                break
            size, is_kept = step
            if is_kept:
                kept.append(bytes(data[position : position + size]))
            position += size
        del data[:position]
        return b"".join(kept)

    def _step(self, data: bytearray, position: int) -> tuple[int, bool] | None:
        """Return the size of the next piece and whether it is kept, or None."""
        if self._state is _State.DATA:
            return self._step_data(len(data) - position)
        end = data.find(b"\n", position) + 1
        if self._state is _State.SIZE:
            return self._step_size(data, position, end)
        return self._step_trailer(data, position, end)

    def _step_data(self, available: int) -> tuple[int, bool] | None:
        size = min(self._left, available)
        if not size:
            return None
        body_left = max(0, self._left - len(CHUNK_END))
        self._left -= size
        self.body_bytes += body_left - max(0, self._left - len(CHUNK_END))
        if not self._left:
            self._state = _State.SIZE
        return size, True

    def _step_size(
        self, data: bytearray, position: int, end: int
    ) -> tuple[int, bool] | None:
        if not end:
            if len(data) - position > MAX_CHUNK_LINE_BYTES:
                raise FramingError("chunk size without end")
            return None
        match = CHUNK_SIZE.fullmatch(data, position, end)
        if match is None or end - position > MAX_CHUNK_LINE_BYTES:
            raise FramingError("invalid chunk size")
        size = int(match[1], 16)
        if size:
            self._left = size + len(CHUNK_END)
            self._state = _State.DATA
        else:
            self._state = _State.TRAILERS
        return end - position, True

    def _step_trailer(
        self, data: bytearray, position: int, end: int
    ) -> tuple[int, bool] | None:
        size = (end or len(data)) - position
        if self._trailer_bytes + size > self._max_trailer_bytes:
            raise FramingError("trailers exceed the limit")
        if not end:
            return None
        is_last = data[position:end] in (b"\r\n", b"\n")
        if is_last:
            self._state = _State.COMPLETE
        else:
            self._trailer_bytes += size
        return size, is_last
