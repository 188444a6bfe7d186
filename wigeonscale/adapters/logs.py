"""Logging as JSON lines on standard output."""

__all__ = ["JsonLinesFormatter", "log_fields", "setup_logging"]

import atexit
import datetime
import json
import logging
import logging.handlers
import queue
import sys
from typing import TextIO

# Covers a few seconds of log lines of a busy entry, about 3 MB. If the reader of
# standard output blocks for longer, lines are dropped so that no request waits for it.
MAX_QUEUED_LINES = 5000

_RESERVED = frozenset({"time", "level", "logger", "node", "message", "traceback"})


class JsonLinesFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    Fields passed as ``extra={"fields": {...}}`` are added to the fixed ones and cannot
    override them.

    Args:
        node: Name of the process, added to each line.
    """

    def __init__(self, *, node: str):
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON object without a trailing newline.

        Args:
            record: The record to format.
        """
        fields = getattr(record, "fields", None) or {}
        line = {
            "time": _utc_timestamp(record.created),
            "level": record.levelname,
            "logger": record.name,
            "node": self._node,
            "message": record.getMessage(),
        }
        line |= {key: fields[key] for key in fields if key not in _RESERVED}
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, ensure_ascii=False)


def log_fields(
    *,
    request_id: str = "",
    organisation: str = "",
    kind: str = "",
    outcome: str = "",
    **others: object,
) -> dict[str, dict[str, object]]:
    """Return the ``extra`` argument of a log call.

    Args:
        request_id: Id of the caller's request.
        organisation: Organisation of the caller.
        kind: Error kind.
        outcome: Outcome of the request.
        **others: Further fields; values that JSON cannot represent become text.

    Returns:
        A mapping for ``extra``; empty fields are left out.

    Example:
        >>> log_fields(request_id="r1", outcome="whole")
        {'fields': {'request_id': 'r1', 'outcome': 'whole'}}
    """
    fields = {
        "request_id": request_id,
        "organisation": organisation,
        "kind": kind,
        "outcome": outcome,
        **others,
    }
    return {"fields": {key: value for key, value in fields.items() if value != ""}}


def setup_logging(level: str, node: str, *, stream: TextIO | None = None) -> None:
    """Write all logs of the process to one stream as JSON lines.

    Args:
        level: Name of the lowest level that is logged.
        node: Name of the process.
        stream: Output stream, written synchronously; None for standard output, written
            by a background thread.
    """
    handler = _stream_handler(stream) if stream else _background_handler()
    handler.setFormatter(JsonLinesFormatter(node=node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # A line per metrics scrape adds no information to the metrics.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


class BoundedHandler(logging.handlers.QueueHandler):
    """Passes records to a writer thread and drops them when the queue is full.

    Once there is room again, a record reports how many were dropped.

    Args:
        lines: Bounded queue that the writer thread reads.
    """

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self._dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped if the queue is full.

        Args:
            record: Formatted record.
        """
        try:
            if self._dropped:
                self.queue.put_nowait(self._dropped_record())
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def _dropped_record(self) -> logging.LogRecord:
        record = logging.LogRecord(
            __name__,
            logging.WARNING,
            __file__,
            0,
            f"{self._dropped} log lines dropped",
            None,
            None,
        )
        return self.prepare(record)


def _stream_handler(stream: TextIO) -> logging.Handler:
    return logging.StreamHandler(stream)


def _background_handler() -> logging.Handler:
    lines = queue.Queue(MAX_QUEUED_LINES)
    listener = logging.handlers.QueueListener(lines, _stream_handler(sys.stdout))
    listener.start()
    atexit.register(listener.stop)
    return BoundedHandler(lines)


def _utc_timestamp(created: float) -> str:
    stamp = datetime.datetime.fromtimestamp(created, datetime.UTC)
    return stamp.isoformat(timespec="milliseconds").replace("+00:00", "Z")
