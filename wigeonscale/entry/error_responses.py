"""HTTP responses for errors."""

__all__ = ["REQUEST_HEADER", "error_document", "error_response"]

import json
import math

from aiohttp import web

from wigeonscale.errors import ERROR_RESPONSES, WigeonscaleError

REQUEST_HEADER = "Wigeonscale-Request"
RUN_HEADER = "Wigeonscale-Run"
DEFAULT_RETRY_AFTER_S = 1.0


def error_response(exc: WigeonscaleError, request_id: str = "") -> web.Response:
    """Return the HTTP response for an error.

    Args:
        exc: The error.
        request_id: Id of the request if its work was dispatched, else empty.

    Returns:
        Status, headers and JSON body according to
        ``wigeonscale.errors.ERROR_RESPONSES``.
    """
    answer = ERROR_RESPONSES[exc.kind]
    headers = {RUN_HEADER: exc.run_state.value}
    if answer.retryable:
        headers["Retry-After"] = str(math.ceil(_retry_after(exc)))
    if request_id:
        headers[REQUEST_HEADER] = request_id
    return web.Response(
        status=answer.status,
        headers=headers,
        text=error_document(exc),
        content_type="application/json",
    )


def error_document(exc: WigeonscaleError) -> str:
    """Return the JSON text of an error that is sent to callers."""
    retryable = ERROR_RESPONSES[exc.kind].retryable
    error = {
        "kind": exc.kind.value,
        "message": exc.message,
        "run": exc.run_state.value,
        "retry_after": round(_retry_after(exc), 3) if retryable else None,
    }
    return json.dumps({"error": error})


def _retry_after(exc: WigeonscaleError) -> float:
    return DEFAULT_RETRY_AFTER_S if exc.retry_after is None else exc.retry_after
