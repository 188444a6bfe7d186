"""The plain-service port over HTTP."""

__all__ = ["HttpService", "single_attempt_session"]

import asyncio
from collections.abc import Sequence

import aiohttp
import yarl

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports import HttpResponse

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


PROBE_TIMEOUT_S = 1.0

# Headers that aiohttp would otherwise add to what the caller sent.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


def single_attempt_session() -> aiohttp.ClientSession:
    """Return a session that sends every request at most once.

    Notes:
        aiohttp sends PUT and DELETE again by itself when the connection breaks
        before the answer. It has no public switch against it; its own test client
        clears the same attribute.
    """
    session = aiohttp.ClientSession(
        auto_decompress=False, skip_auto_headers=AUTO_HEADERS
    )
    session._retry_connection = False
    return session


class HttpService:
    """Implements the service port by HTTP calls, each made exactly once.

    Args:
        url: Base URL of the service.
        session: From :func:`single_attempt_session`; the caller closes it.
    """

    def __init__(self, *, url: str, session: aiohttp.ClientSession):
        self._url = url.rstrip("/")
        self._session = session

    async def probe(self) -> None:
        """Return when the service takes connections; nothing is sent on it.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED`` when it does not.
        """
        url = yarl.URL(self._url)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    url.host, url.port, ssl=url.scheme == "https" or None
                )
        except (OSError, TimeoutError) as exc:
            raise _backend_failed(
                f"cannot connect to {self._url}: {exc!r}", RunState.NOT_RUN
            ) from exc
        writer.close()

    async def call(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        timeout_s: float = 60.0,
    ) -> HttpResponse:
        """Make one call and return its answer.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED``, with run state ``NOT_RUN`` only
                when no connection was made.
        """
        forwarded = [(n, v) for n, v in headers if n.lower() not in HOP_BY_HOP_HEADERS]
        url = yarl.URL(self._url + path, encoded=True)
        try:
            async with self._session.request(
                method,
                url,
                headers=forwarded,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as res:
                return HttpResponse(
                    status=res.status,
                    headers=tuple(
                        (n, v)
                        for n, v in res.headers.items()
                        if n.lower() not in HOP_BY_HOP_HEADERS
                    ),
                    body=await res.read(),
                )
        except aiohttp.ClientConnectorError as exc:
            raise _backend_failed(
                f"cannot connect to {self._url}: {exc}", RunState.NOT_RUN
            ) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _backend_failed(f"{method} {url}: {exc!r}", RunState.UNKNOWN) from exc


def _backend_failed(message: str, run_state: RunState) -> WigeonscaleError:
    return WigeonscaleError(ErrorKind.BACKEND_FAILED, message, run_state=run_state)
