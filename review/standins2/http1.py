"""Minimal HTTP/1.1 on asyncio streams, with control over each byte that is sent."""

__all__ = ["Call", "Channel", "Reply", "call", "read_call", "reply_bytes"]

import asyncio
import json
from dataclasses import dataclass, field

CALL_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Call:
    """One request as a server received it.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Headers by lower-case name.
        body: Body.
    """

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Reply:
    """One response as a client received it.

    Attributes:
        status: HTTP status; 0 if there was none.
        headers: Headers by lower-case name.
        body: Body, as far as it was received.
        is_whole: Whether the end of the body was received.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_chunks(reader: asyncio.StreamReader, reply: Reply) -> None:
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        reply.body += data[:-2]


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Return the next request of a channel, or None if the channel has ended."""
    try:
        first, headers = await _read_head(reader)
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, path, _ = first.split(" ", 2)
    return Call(method, path, headers, body)


def reply_bytes(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Channel:
    """A client's channel, kept open for several requests.

    Args:
        address: ``ip:port``.
    """

    def __init__(self, *, address: str):
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Reply:
        """Send a request and return its response; opens the channel if needed."""
        reply = Reply()
        try:
            await self._open()
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await self._receive(reply)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            self.close()
        if reply.headers.get("connection", "").lower() == "close":
            self.close()
        return reply

    async def _open(self) -> None:
        if self._writer is None:
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def _receive(self, reply: Reply) -> None:
        first, reply.headers = await _read_head(self._reader)
        reply.status = int(first.split(" ")[1])
        if reply.headers.get("transfer-encoding") == "chunked":
            await _read_chunks(self._reader, reply)
        else:
            size = int(reply.headers.get("content-length", 0))
            reply.body = await self._reader.readexactly(size)
        reply.is_whole = True

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def call(
    method: str,
    address: str,
    path: str,
    body: dict | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Make one call on a channel of its own; a reply with status 0 if it fails."""
    channel = Channel(address=address)
    data = b"" if body is None else json.dumps(body).encode()
    headers = {"Host": address, "Content-Type": "application/json"}
    try:
        async with asyncio.timeout(timeout_s):
            return await channel.send(method, path, headers, data)
    except TimeoutError:
        return Reply()
    finally:
        channel.close()
