"""Error responses for malformed HTTP, in the format of all other errors."""

__all__ = ["CallerRunner"]

from aiohttp import web

from wigeonscale.adapters import METRICS
from wigeonscale.adapters.http_server import (
    REFUSAL_KINDS,
    REFUSED_RETRY_AFTER_S,
    Connection,
    DrainingRunner,
)
from wigeonscale.entry.error_responses import error_response
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError

MAX_MESSAGE_LENGTH = 200


class _Connection(Connection):
    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that reached no handler, and close."""
        error = _error_for_status(status, message or "")
        METRICS.requests.add(organisation="", kind=error.kind)
        if error.kind is ErrorKind.INTERNAL:
            self.log_exception("request outside any handler failed", exc_info=exc)
        if request.writer.output_size > 0:
            raise ConnectionError("another response has already been partly written")
        resp = error_response(error)
        resp.force_close()
        return resp


class CallerRunner(DrainingRunner):
    """Runs an application that answers malformed HTTP with its own error format."""

    connection_class = _Connection


def _error_for_status(status: int, message: str) -> WigeonscaleError:
    if status in REFUSAL_KINDS:
        return WigeonscaleError(
            REFUSAL_KINDS[status], message, retry_after=REFUSED_RETRY_AFTER_S
        )
    if status >= web.HTTPInternalServerError.status_code:
        return WigeonscaleError(
            ErrorKind.INTERNAL,
            "internal error in the entry",
            run_state=RunState.UNKNOWN,
        )
    first_line = message.strip().partition("\n")[0][:MAX_MESSAGE_LENGTH]
    return WigeonscaleError(ErrorKind.BAD_REQUEST, f"malformed HTTP: {first_line}")
