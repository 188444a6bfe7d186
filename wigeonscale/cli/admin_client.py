"""HTTP client of the control replicas' admin endpoints, with failover."""

__all__ = ["AdminClient"]

import asyncio
import json
import ssl
from collections.abc import Sequence

import aiohttp

from wigeonscale.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    RunState,
    WigeonscaleError,
    error_from_kind,
)
from wigeonscale.ports import Clock

ATTEMPT_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.3
BODY_TOO_LARGE = 413
FIRST_SERVER_ERROR = 500
COMMITTED_DECISION_KINDS = frozenset(
    {ErrorKind.REVISION_CONFLICT, ErrorKind.INVALID_DOCUMENT}
)


class AdminClient:
    """Sends an operator's request to the replicas in turn until one decides it.

    Args:
        session: HTTP session to use.
        addresses: HTTP addresses of the control replicas, each ``ip:port``.
        clock: Clock port.
        timeout_s: Timeout of one request over all attempts, in seconds.
        token: Bearer token of the operators; empty for none.
        tls: TLS context for the replicas; None for plain HTTP.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        addresses: Sequence[str],
        clock: Clock,
        timeout_s: float = 15.0,
        token: str = "",
        tls: ssl.SSLContext | None = None,
    ):
        self.addresses = tuple(addresses)
        self._session = session
        self._clock = clock
        self._timeout_s = timeout_s
        self._tls = tls
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}

    async def read(self, path: str) -> dict[str, object]:
        """Return the JSON body of a GET request from the first replica that responds.

        Raises:
            WigeonscaleError: The request was refused, or no replica responded.
        """
        return await self._call("GET", path, None)

    async def change(self, path: str, body: dict[str, object]) -> dict[str, object]:
        """Make a change, resending the same body until a response arrives.

        Args:
            path: URL path.
            body: JSON body; its ``operation_id`` makes the request idempotent.

        Raises:
            WigeonscaleError: The change was refused, or no replica was reached
                (run state ``NOT_RUN``), or every response was lost (``UNKNOWN``).
        """
        return await self._call("POST", path, body)

    async def _call(
        self, method: str, path: str, body: dict[str, object] | None
    ) -> dict[str, object]:
        end = self._clock.now() + self._timeout_s
        unknown = None
        while True:
            for address in self.addresses:
                try:
                    return await self.request_once(address, method, path, body)
                except WigeonscaleError as exc:
                    if not ERROR_RESPONSES[exc.kind].retryable:
                        raise _final_error(exc, unknown) from exc
                    last = exc
                    if exc.run_state is not RunState.NOT_RUN:
                        unknown = exc
            if self._clock.now() + RETRY_PAUSE_S > end:
                raise unknown or last
            await self._clock.sleep(RETRY_PAUSE_S)

    async def read_each(
        self, addresses: Sequence[str], path: str
    ) -> tuple[dict[str, dict], dict[str, str]]:
        """Send a GET request to several processes concurrently, without retries.

        Args:
            addresses: HTTP addresses of the processes, each ``ip:port``.
            path: URL path.

        Returns:
            JSON bodies by address, and error messages by address of the processes
            without a usable response.
        """
        results = await asyncio.gather(
            *(self.request_once(address, "GET", path) for address in addresses),
            return_exceptions=True,
        )
        pages, missing = {}, {}
        for address, answer in zip(addresses, results, strict=True):
            if isinstance(answer, WigeonscaleError):
                missing[address] = answer.message
            elif isinstance(answer, BaseException):
                raise answer
            else:
                pages[address] = answer
        return pages, missing

    async def request_once(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, object] | None = None,
    ) -> dict[str, object]:
        """Make one attempt at one address.

        Raises:
            WigeonscaleError: The attempt failed; the run state of the error says
                whether it may have had an effect.
        """
        lost_state = RunState.NOT_RUN if method == "GET" else RunState.UNKNOWN
        # Entries serve plain HTTP only.
        is_secure = self._tls is not None and address in self.addresses
        timeout = aiohttp.ClientTimeout(
            total=ATTEMPT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method,
                f"{'https' if is_secure else 'http'}://{address}{path}",
                ssl=self._tls if is_secure else True,
                json=body,
                headers=self._headers,
                timeout=timeout,
            ) as resp:
                return _decode_response(
                    address, resp.status, await resp.read(), lost_state
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise _no_response_error(address, exc, RunState.NOT_RUN) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _no_response_error(address, exc, lost_state) from exc


def _final_error(
    refusal: WigeonscaleError, unknown: WigeonscaleError | None
) -> WigeonscaleError:
    """Return the error to raise for a refusal that may follow a lost response.

    A refusal decides the outcome of an earlier attempt with a lost response only if
    its kind comes from the replicated log. Otherwise the outcome stays unknown.
    """
    if unknown is None or refusal.kind in COMMITTED_DECISION_KINDS:
        return refusal
    return unknown


def _no_response_error(
    address: str, exc: Exception, run_state: RunState
) -> WigeonscaleError:
    reason = str(exc) or type(exc).__name__
    return WigeonscaleError(
        ErrorKind.NO_QUORUM, f"no answer from {address}: {reason}", run_state=run_state
    )


def _decode_response(
    address: str, status: int, data: bytes, lost_state: RunState
) -> dict[str, object]:
    if status == BODY_TOO_LARGE:
        text = f"{address} rejected the size of the body: {data[:200]!r}"
        raise WigeonscaleError(ErrorKind.BODY_TOO_LARGE, text)
    try:
        answer = json.loads(data)
        error = answer.get("error")
        if error is None and status < 400:
            return answer
        kind, message = error["kind"], error["message"]
    except (ValueError, AttributeError, KeyError, TypeError) as exc:
        text = f"answer {status} of {address} cannot be read: {data[:200]!r}"
        raise WigeonscaleError(ErrorKind.NO_QUORUM, text, run_state=lost_state) from exc
    # After a server error the change may or may not have been made.
    default_state = lost_state if status >= FIRST_SERVER_ERROR else RunState.NOT_RUN
    raise error_from_kind(
        kind,
        message,
        run_state=error.get("run", default_state),
        retry_after=error.get("retry_after"),
    )
