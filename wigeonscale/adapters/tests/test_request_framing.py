import re

from hypothesis import given
from hypothesis import strategies as st

from wigeonscale.adapters.request_framing import (
    ChunkScanner,
    FramingError,
    find_head_end,
)
from wigeonscale.testing import AsyncTestCase

TRAILERS = b"X: y\r\nZ: z\r\n"
NEXT = b"GET / HTTP/1.1\r\n"
SPLITS = st.lists(st.integers(1, 20), min_size=1)


def pieces(data, sizes):
    """Yield the data in pieces of the sizes, again and again."""
    position = 0
    while position < len(data):
        for size in sizes:
            yield data[position : position + size]
            position += size


def decode(data):
    """Return the body of a complete sequence of chunks without extensions."""
    body = b""
    while True:
        line, _, data = data.partition(b"\r\n")
        size = int(line, 16)
        body += data[:size]
        if data[size : size + 2] != b"\r\n":
            raise AssertionError(f"chunk without its line end: {data[size:]}")
        data = data[size + 2 :]
        if not size:
            if data:
                raise AssertionError(f"data behind the end: {data}")
            return body


class HeadEndTest(AsyncTestCase):
    @given(SPLITS)
    def test_end_is_found_however_the_head_arrives(self, sizes):
        for head in (b"GET / HTTP/1.1\r\nA: b\r\n\r\n", b"GET / HTTP/1.1\nA: b\n\n"):
            data, searched = bytearray(), 0
            for piece in pieces(head + NEXT, sizes):
                data += piece
                end = find_head_end(data, searched)
                searched = len(data)
                if end >= 0:
                    break
            self.assertEqual(head, data[:end])


class ChunkScannerTest(AsyncTestCase):
    @given(st.lists(st.binary(min_size=1, max_size=40), max_size=5), SPLITS)
    def test_body_ends_however_it_arrives(self, chunks, sizes):
        body = b"".join(b"%x;a=b\r\n%s\r\n" % (len(c), c) for c in chunks)
        scanner = ChunkScanner(max_trailer_bytes=100)
        data, kept = bytearray(), b""
        for piece in pieces(body + b"0\r\n" + TRAILERS + b"\r\n" + NEXT, sizes):
            data += piece
            kept += scanner.feed(data)
        self.assertTrue(scanner.is_complete)
        self.assertEqual(b"".join(chunks), decode(kept))
        self.assertEqual(sum(map(len, chunks)), scanner.body_bytes)
        self.assertEqual(len(chunks), scanner.chunks)
        self.assertEqual(NEXT, data)

    def test_invalid_sizes(self):
        for line in (b"x", b"", b"-1", b"0x1", b"1_0", b"1 2", b"f" * 17, b"\r"):
            scanner = ChunkScanner(max_trailer_bytes=100)
            with self.assertRaises(FramingError, msg=line):
                scanner.feed(bytearray(line + b"\r\n"))

    def test_chunk_without_its_line_end(self):
        for body in (b"1\r\nxy\r\n", b"1\r\nx\n0\r\n", b"1\r\nx\ry"):
            for size in (1, 2, 100):
                scanner, data = ChunkScanner(max_trailer_bytes=100), bytearray()
                with self.assertRaisesRegex(FramingError, "line end"):
                    for piece in pieces(body, [size]):
                        data += piece
                        scanner.feed(data)

    def test_size_without_end(self):
        with self.assertRaisesRegex(FramingError, re.escape("without end")):
            ChunkScanner(max_trailer_bytes=100).feed(bytearray(b"0" * 5000))

    def test_trailers_without_end(self):
        """Guards against trailers of many lines, and of a single one."""
        for trailers in (b"a:\r\n" * 26, b"a" * 101):
            scanner = ChunkScanner(max_trailer_bytes=100)
            with self.assertRaisesRegex(FramingError, "trailers"):
                scanner.feed(bytearray(b"0\r\n" + trailers))
