"""Connections of an HTTP client whose responses must be whole and belong together."""

__all__ = ["CleanConnector", "ResetCheck", "discard_connection"]

from collections.abc import Mapping
from weakref import WeakKeyDictionary

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Bounds the ids that are kept for a connection, and is seldom reached.
MAX_REQUESTS_PER_CONNECTION = 256


class CleanConnector(aiohttp.TCPConnector):
    """Connector that reuses a connection only if its next response can be identified.

    Data after a complete response is no response to the next request. The base class
    notices it only if it arrives before the connection returns to the pool. Data that
    arrives later is identified by the id of its request, which is the same each time
    that a request is sent: no connection carries a request twice.

    Args:
        id_header: Name of the request header that identifies a request; empty if
            responses are not identified.
        **options: Options of :class:`aiohttp.TCPConnector`.
    """

    def __init__(self, *, id_header: str = "", **options: object):
        super().__init__(**options)
        self._id_header = id_header
        self._sent_ids: WeakKeyDictionary[ResponseHandler, set[str]] = (
            WeakKeyDictionary()
        )

    async def connect(self, req, traces, timeout):
        """Return a connection that has not carried the request."""
        while True:
            conn = await super().connect(req, traces, timeout)
            if self._note_sent(conn.protocol, req.headers):
                return conn
            conn.close()

    def _note_sent(self, protocol: ResponseHandler, headers: Mapping[str, str]) -> bool:
        """Record a request on a connection; return False if it must not carry it."""
        request_id = headers.get(self._id_header)
        if request_id is None:
            return True
        sent_ids = self._sent_ids.setdefault(protocol, set())
        if request_id in sent_ids or len(sent_ids) >= MAX_REQUESTS_PER_CONNECTION:
            return False
        sent_ids.add(request_id)
        return True

    async def _get(self, key, traces):
        while True:
            conn = await super()._get(key, traces)
            if conn is None or not conn.protocol.should_close:
                return conn
            conn.close()


class ResetCheck:
    """Detects that a reset ended a response with neither a length nor chunks.

    Such a response ends when its connection closes, and a reset may have cut it short.
    aiohttp reports both as the end of the body.

    Args:
        res: A response whose body has not been read.
    """

    def __init__(self, *, res: aiohttp.ClientResponse):
        headers = res.headers
        has_end = "Content-Length" in headers or "Transfer-Encoding" in headers
        # The response drops its reference to the connection at the end of the body.
        conn = res.connection
        self._protocol = None if has_end or conn is None else conn.protocol

    def error(self) -> BaseException | None:
        """Return the error that ended the response; None if it is whole.

        To be called once the body has been read.
        """
        exc = self._protocol.exception() if self._protocol is not None else None
        return None if isinstance(exc, aiohttp.ServerDisconnectedError) else exc


def discard_connection(res: aiohttp.ClientResponse) -> None:
    """Close the connection of a response.

    The connection of a short response has returned to the pool by the time that its
    head is read, and :meth:`aiohttp.ClientResponse.close` does not close it any more.

    Args:
        res: A response that may not belong to its request.
    """
    res.close()
    res._protocol.close()
