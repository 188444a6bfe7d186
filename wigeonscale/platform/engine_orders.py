"""HTTP client for the orders and status reports of model engines."""

__all__ = ["HttpEngineOrders"]

import json
import logging
import math
from collections.abc import Mapping, Sequence

import aiohttp

from wigeonscale.adapters.http_connector import discard_connection
from wigeonscale.adapters.logs import log_fields
from wigeonscale.layers import Part
from wigeonscale.platform.connection_limiter import ConnectionContext
from wigeonscale.platform.headers import (
    EXPECTED_BACKEND_HEADER,
    format_path,
    read_request_id,
)
from wigeonscale.ports import EngineProbeResult, ProbeResult
from wigeonscale.ports.orders import (
    STATUS_TIMEOUT_S,
    EngineStatus,
    OrderOutcome,
)

# Engines respond immediately, and a link takes a few milliseconds. One lost packet
# costs about 200 ms: an order waits for the retransmission, while a probe has a shorter
# timeout and is sent twice.
ORDER_TIMEOUT_S = 0.7
PROBE_TIMEOUT_S = 0.3
# A stalled stream waits for this response. Sending it to another engine instead would
# take 100 ms.
PATH_CHANGE_TIMEOUT_S = 0.15

# Raised for a report that is no JSON, has other types or numbers out of range, or is
# nested too deeply.
REPORT_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
OUTCOME_BY_STATUS = {
    200: OrderOutcome.UNCHANGED,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}

logger = logging.getLogger(__name__)


class HttpEngineOrders:
    """Implements the engine orders port over HTTP.

    Args:
        session: Client session used for reports and probes.
        order_session: Client session that uses each connection once. Responses to
            orders bear no id, so that a late second response on a kept connection
            would pass for the response to the next order.
    """

    def __init__(
        self, *, session: aiohttp.ClientSession, order_session: aiohttp.ClientSession
    ):
        self._session = session
        self._order_session = order_session

    async def place(
        self,
        address: str,
        *,
        backend_id: str,
        first: int,
        end: int,
        fence: int,
        expected_orders: int,
        waits: bool,
    ) -> OrderOutcome:
        """Order an engine to hold the layers from ``first`` to before ``end``."""
        order = {
            "op": "place",
            "from": first,
            "to": end,
            "strategy": "queue" if waits else "preempt",
            "fencing-token": fence,
            # The number of started orders, which the report calls "seq".
            "precondition": expected_orders,
        }
        response = await self._try_order(address, backend_id, order, ORDER_TIMEOUT_S)
        if response is None:
            return OrderOutcome.UNKNOWN
        return OUTCOME_BY_STATUS.get(response[0], OrderOutcome.REFUSED)

    async def change_path(
        self,
        address: str,
        *,
        backend_id: str,
        request_id: str,
        path: Sequence[Part],
        addresses: Sequence[str],
    ) -> OrderOutcome:
        """Order the first engine of a running request to continue on another path."""
        order = {
            "op": "repath",
            "id": request_id,
            "path": format_path(path, addresses),
        }
        response = await self._try_order(
            address, backend_id, order, PATH_CHANGE_TIMEOUT_S
        )
        if response is None:
            return OrderOutcome.UNKNOWN
        return OUTCOME_BY_STATUS.get(response[0], OrderOutcome.REFUSED)

    async def status(
        self, address: str, *, timeout_s: float = STATUS_TIMEOUT_S
    ) -> EngineStatus | None:
        """Return the status of an engine; None if it does not respond in time."""
        response = await self._try_report(address, timeout_s)
        if response is None or response[0] != 200:
            return None
        try:
            report = json.loads(response[1])
            layers = report.get("layers") or {}
            stalled = report.get("stalled") or []
            return EngineStatus(
                orders=int(report["seq"]),
                busy=bool(report["busy"]),
                first_layer=int(layers.get("from", 0)),
                end_layer=int(layers.get("to", 0)),
                running=int(report.get("running", 0)),
                pace=float(report.get("pace", 1.0)),
                held_up_by=tuple(str(each["address"]) for each in stalled),
                started_ms=_started_ms(report),
            )
        except REPORT_ERRORS as exc:
            logger.warning("cannot parse the report of %s: %s", address, exc)
            return None

    async def probe(self, address: str, started_ms: int) -> EngineProbeResult:
        """Check whether an engine responds, and how slow it reports to be.

        Args:
            address: ``ip:port`` of the engine.
            started_ms: Start time of the expected incarnation, in Unix milliseconds; 0
                if it is not known.

        Returns:
            The result; ``REPLACED`` if a later incarnation responds.
        """
        try:
            response = await _send(
                self._session, "GET", address, "/report", timeout_s=PROBE_TIMEOUT_S
            )
        except aiohttp.ClientConnectorError as exc:
            logger.info("probe of %s: cannot connect: %r", address, exc.os_error)
            is_refused = isinstance(exc.os_error, ConnectionRefusedError)
            return EngineProbeResult(
                ProbeResult.REFUSED if is_refused else ProbeResult.NO_ANSWER
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            logger.info("probe of %s: no response: %r", address, exc)
            return EngineProbeResult(ProbeResult.NO_ANSWER)
        return _parse_probe_result(response, started_ms)

    async def _try_order(
        self, address: str, backend_id: str, order: dict, timeout_s: float
    ) -> tuple[int, bytes] | None:
        return await _try_send(
            self._order_session,
            "POST",
            address,
            "/order",
            order,
            headers={EXPECTED_BACKEND_HEADER: backend_id},
            timeout_s=timeout_s,
        )

    async def _try_report(
        self, address: str, timeout_s: float
    ) -> tuple[int, bytes] | None:
        return await _try_send(
            self._session, "GET", address, "/report", timeout_s=timeout_s
        )


async def _try_send(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    body: dict | None = None,
    *,
    headers: Mapping[str, str] | None = None,
    timeout_s: float,
) -> tuple[int, bytes] | None:
    """Return the response as :func:`_send` does; None without a response."""
    try:
        return await _send(
            session, method, address, path, body, headers=headers, timeout_s=timeout_s
        )
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        logger.info("%s %s at %s: no response: %r", method, path, address, exc)
        return None


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    body: dict | None = None,
    *,
    headers: Mapping[str, str] | None = None,
    timeout_s: float,
) -> tuple[int, bytes]:
    """Return status and body of the response.

    Raises:
        aiohttp.ClientError: No response, or one to a request of a caller.
        TimeoutError: No response in time.
        OSError: The connection broke.
    """
    async with session.request(
        method,
        f"http://{address}{path}",
        json=body,
        headers=headers,
        timeout=aiohttp.ClientTimeout(total=timeout_s),
        trace_request_ctx=ConnectionContext(address),
    ) as res:
        if read_request_id(res.headers):
            discard_connection(res)
            raise aiohttp.ClientPayloadError("response to another request")
        return res.status, await res.read()


def _started_ms(report: dict) -> int:
    """Return the start time in a report, in Unix milliseconds; 0 if it has none.

    Raises:
        TypeError: If the field is not an integer.
    """
    born = report.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise TypeError(f"born is not an integer: {born!r}")
    return born


def _parse_probe_result(
    response: tuple[int, bytes], started_ms: int
) -> EngineProbeResult:
    """Return the result of a probe from its HTTP status and body."""
    status, content = response
    if status != 200:
        return EngineProbeResult(ProbeResult.ANSWERED)
    try:
        report = json.loads(content)
        born = _started_ms(report)
        pace = float(report.get("pace", 1.0))
    except REPORT_ERRORS as exc:
        # The engine responded, which is all that the probe needs.
        logger.warning("cannot parse the report of a probed engine: %s", exc)
        return EngineProbeResult(ProbeResult.ANSWERED)
    if started_ms and born > started_ms:
        logger.info(
            "a later incarnation responds to a probe",
            extra=log_fields(old_born=started_ms, born=born),
        )
        return EngineProbeResult(ProbeResult.REPLACED)
    return EngineProbeResult(ProbeResult.ANSWERED, pace if math.isfinite(pace) else 1.0)
