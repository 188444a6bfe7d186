"""Service port over HTTP."""

__all__ = ["HttpService", "single_attempt_session"]

import asyncio
from collections.abc import Sequence

import aiohttp
import yarl

from wigeonscale.adapters.http_connector import CleanConnector, ResetCheck
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

# Headers that aiohttp would otherwise add to the headers of the caller.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


def single_attempt_session() -> aiohttp.ClientSession:
    """Return a client session that sends every request at most once.

    Notes:
        By default aiohttp retries PUT and DELETE requests if the connection breaks
        before the response. There is no public option to disable this; aiohttp's own
        test client sets the same private attribute.
    """
    session = aiohttp.ClientSession(
        connector=CleanConnector(),
        auto_decompress=False,
        skip_auto_headers=AUTO_HEADERS,
    )
    session._retry_connection = False
    return session


class HttpService:
    """Implements the service port by HTTP calls without retries.

    Args:
        url: Base URL of the service.
        session: Client session from :func:`single_attempt_session`; the caller must
            close it.
    """

    def __init__(self, *, url: str, session: aiohttp.ClientSession):
        self._url = url.rstrip("/")
        self._session = session

    async def probe(self) -> None:
        """Check that the service accepts connections; no request is sent.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED`` if it does not.
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
        """Send one request and return its response.

        Args:
            method: HTTP method.
            path: Path with query, encoded.
            headers: Names and values; hop-by-hop headers are not forwarded.
            body: Request body.
            timeout_s: Maximum duration of the whole call, in seconds.

        Raises:
            WigeonscaleError: ``BACKEND_FAILED``, with run state ``NOT_RUN`` only if no
                connection was opened.
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
                reset_check = ResetCheck(res=res)
                content = await res.read()
                exc = reset_check.error()
                if exc is not None:
                    raise _backend_failed(
                        f"{method} {url}: connection reset: {exc!r}", RunState.UNKNOWN
                    )
                return HttpResponse(
                    status=res.status,
                    headers=tuple(
                        (n, v)
                        for n, v in res.headers.items()
                        if n.lower() not in HOP_BY_HOP_HEADERS
                    ),
                    body=content,
                )
        except aiohttp.ClientConnectorError as exc:
            raise _backend_failed(
                f"cannot connect to {self._url}: {exc}", RunState.NOT_RUN
            ) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _backend_failed(f"{method} {url}: {exc!r}", RunState.UNKNOWN) from exc


def _backend_failed(message: str, run_state: RunState) -> WigeonscaleError:
    return WigeonscaleError(ErrorKind.BACKEND_FAILED, message, run_state=run_state)
