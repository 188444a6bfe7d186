"""Finds where the heads and bodies of HTTP requests end in the bytes of a connection.

The parser builds objects from each header line as it reads it, which take some 36 times
the memory of a short line. Knowing the ends first lets a server bound what it hands to
the parser. The parser stays the authority on what the bytes mean.
"""

__all__ = ["ChunkScanner", "FramingError", "find_head_end"]

import re

# Both line ends that the parser may accept.
HEAD_END = re.compile(rb"\n\r?\n")
HEAD_END_OVERLAP = 2
CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,16})(?:[ \t]*(?:;[^\r\n]{0,4000})?)\r?\n")
MAX_CHUNK_LINE_BYTES = 4096
CHUNK_END = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"


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


class ChunkScanner:
    """Finds the end of a body in chunks, and drops its trailers.

    Trailers concern a single connection only, and the parser would keep them. The
    chunks of one call are joined, as the parser makes objects for each.

    Args:
        max_trailer_bytes: Maximum size of all trailers.

    Attributes:
        body_bytes: Number of bytes of the body so far, without their framing.
        chunks: Number of chunks so far.
        is_complete: Whether the end of the body was found.
    """

    def __init__(self, *, max_trailer_bytes: int):
        self.body_bytes = 0
        self.chunks = 0
        self.is_complete = False
        self._max_trailer_bytes = max_trailer_bytes
        self._trailer_bytes = 0
        self._in_trailers = False
        # Bytes of the current chunk that are missing, with its line end; 0 between
        # two chunks.
        self._left = 0

    def feed(self, data: bytearray) -> bytes:
        """Remove bytes of the body from data, and return them in a single chunk.

        An incomplete line is left in the data. Cost: linear in the size of the data.

        Args:
            data: Bytes that continue the body; what follows its end is left.

        Returns:
            The chunk, and the end of the body if it was found; empty for neither.

        Raises:
            FramingError: The framing is invalid or exceeds a limit.
        """
        if self.is_complete:
            return b""
        parts: list[bytearray] = []
        position = 0
        if not self._in_trailers:
            position = self._feed_chunks(data, parts)
        if self._in_trailers:
            position = self._feed_trailers(data, position)
        del data[:position]
        body = b"".join(parts)
        self.body_bytes += len(body)
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return chunk + LAST_CHUNK if self.is_complete else chunk

    def _feed_chunks(self, data: bytearray, parts: list[bytearray]) -> int:
        """Append the bytes of chunks to parts, and return the position behind them."""
        position, size, left = 0, len(data), self._left
        while position < size:
            if left > len(CHUNK_END):
                end = min(position + left - len(CHUNK_END), size)
                parts.append(data[position:end])
                left -= end - position
                position = end
            elif left:
                line_end = data[position : position + left]
                if not CHUNK_END[-left:].startswith(line_end):
                    raise FramingError("chunk without its line end")
                left -= len(line_end)
                position += len(line_end)
            else:
                line = CHUNK_SIZE.match(data, position)
                if line is None:
                    _check_incomplete_line(data, position)
                    break
                position = line.end()
                chunk_size = int(line[1], 16)
                if not chunk_size:
                    self._in_trailers = True
                    break
                left = chunk_size + len(CHUNK_END)
                self.chunks += 1
        self._left = left
        return position

    def _feed_trailers(self, data: bytearray, position: int) -> int:
        """Return the position behind the trailers that are complete."""
        while not self.is_complete:
            end = data.find(b"\n", position) + 1
            size = (end or len(data)) - position
            if self._trailer_bytes + size > self._max_trailer_bytes:
                raise FramingError("trailers exceed the limit")
            if not end:
                break
            self.is_complete = data[position:end] in (b"\r\n", b"\n")
            self._trailer_bytes += size
            position = end
        return position


def _check_incomplete_line(data: bytearray, position: int) -> None:
    """Raise an error if data does not begin with a part of a chunk size."""
    if data.find(b"\n", position) >= 0:
        raise FramingError("invalid chunk size")
    if len(data) - position > MAX_CHUNK_LINE_BYTES:
        raise FramingError("chunk size without end")
