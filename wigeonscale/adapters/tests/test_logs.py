import io
import json
import logging
import queue

from wigeonscale.adapters import log_fields, setup_logging
from wigeonscale.adapters.logs import BoundedHandler, JsonLinesFormatter
from wigeonscale.testing import AsyncTestCase


class LogsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(root.handlers.__setitem__, slice(None), list(root.handlers))
        self.stream = io.StringIO()
        setup_logging("INFO", "entry-1", stream=self.stream)
        self.logger = logging.getLogger("wigeonscale.somewhere")

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_one_json_object_per_line(self):
        self.logger.info("first\nstill %s", "first")
        self.logger.debug("below the level")
        self.logger.warning("second")
        first, second = self.lines()
        self.assertEqual("first\nstill first", first["message"])
        self.assertEqual(
            ("WARNING", "entry-1", "wigeonscale.somewhere"),
            (second["level"], second["node"], second["logger"]),
        )
        self.assertRegex(second["time"], r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$")

    def test_fields_are_added_to_the_fixed_ones(self):
        extra = log_fields(
            request_id="r1", organisation="o", kind="overloaded", outcome="refused"
        )
        self.logger.info("answered", extra=extra)
        (line,) = self.lines()
        self.assertEqual(
            ("r1", "o", "overloaded", "refused"),
            tuple(
                line[key] for key in ("request_id", "organisation", "kind", "outcome")
            ),
        )

    def test_empty_fields_are_left_out(self):
        self.logger.info("answered", extra=log_fields(request_id="r1", tokens=0))
        (line,) = self.lines()
        self.assertEqual(0, line["tokens"])
        self.assertNotIn("kind", line)

    def test_fields_cannot_override_fixed_ones(self):
        self.logger.info("m", extra={"fields": {"node": "forged", "level": "forged"}})
        (line,) = self.lines()
        self.assertEqual(("entry-1", "INFO"), (line["node"], line["level"]))

    def test_traceback_and_unserialisable_values_stay_on_one_line(self):
        try:
            raise ValueError("planted")
        except ValueError:
            self.logger.exception("failed", extra=log_fields(odd={1, 2}, raw=b"\xff"))
        (line,) = self.lines()
        self.assertIn("ValueError: planted", line["traceback"])


class BoundedTest(AsyncTestCase):
    """If nothing reads the log lines, logging never blocks and counts lost lines."""

    def test_lines_beyond_the_bound_are_dropped_and_counted(self):
        lines = queue.Queue(2)
        handler = BoundedHandler(lines)
        handler.setFormatter(JsonLinesFormatter(node="n"))
        for number in range(5):
            handler.handle(_record(f"line {number}"))
        kept = [json.loads(lines.get_nowait().msg)["message"] for _ in range(2)]
        self.assertEqual(["line 0", "line 1"], kept)
        handler.handle(_record("later"))
        written = [json.loads(lines.get_nowait().msg)["message"] for _ in range(2)]
        self.assertEqual(["3 log lines dropped", "later"], written)


def _record(message):
    return logging.LogRecord("l", logging.INFO, __file__, 1, message, None, None)
