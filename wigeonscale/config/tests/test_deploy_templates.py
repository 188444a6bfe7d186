"""Settings files as rendered from the templates of the deployment."""

import pathlib
import re

import fixtures
from testscenarios import WithScenarios

from wigeonscale.config import load_settings
from wigeonscale.errors import SettingsError
from wigeonscale.testing import AsyncTestCase

TEMPLATES = {"direct-entry": "entry.ini", "direct-control": "control.ini"}
DEPLOY = pathlib.Path(__file__).parents[3] / "deploy"
FIELDS = {
    "node-name": "front-aarhus-a-1",
    "zone": "aarhus-a",
    "region": "dk-jylland",
    "ip": "10.1.0.40",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "listen.control": "10.1.0.40:8229",
    "internal-ports.0": "7340",
    "seeds": "10.1.0.42:8229,10.2.0.30:8229",
    "data-dir": "/data",
    "bootstrap": "true",
    "heartbeat-ms": "1200",
    "bounds.grace-s": "8",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.budget-window-s": "10",
    "bounds.budget-slack": "198",
    "bounds.fail-closed": "false",
    "limits.memory-mb": "300",
}
NUMBERS = (
    "heartbeat-ms",
    "bounds.grace-s",
    "bounds.retry-budget-ratio",
    "bounds.budget-window-s",
    "bounds.budget-slack",
    "limits.memory-mb",
)
SECTION = re.compile(r"\{\{([#^])([\w.-]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.-]+)\}\}")


def render(template, fields, *, is_zero_false):
    """Render a template; whether 0 counts as false differs between renderers."""
    false = {"", "false"} | ({"0"} if is_zero_false else set())

    def section(match):
        sign, name, body = match.groups()
        is_true = fields.get(name, "") not in false
        return body if is_true == (sign == "#") else ""

    text = SECTION.sub(section, template)
    return VALUE.sub(lambda match: fields.get(match[1], ""), text)


def load(case, role, changes, *, is_zero_false=False):
    """Load settings from the template of a role, with some fields changed or absent."""
    fields = {**FIELDS, **changes}
    fields = {key: value for key, value in fields.items() if value is not None}
    template = (DEPLOY / TEMPLATES[role]).read_text(encoding="utf-8")
    path = pathlib.Path(case.useFixture(fixtures.TempDir()).path) / "local.conf"
    path.write_text(render(template, fields, is_zero_false=is_zero_false))
    return load_settings(str(path), role)


class TemplateTest(WithScenarios, AsyncTestCase):
    """Guards against values that the platform may send and the settings reject."""

    scenarios = [
        (f"{role}, {is_zero_false}", {"role": role, "is_zero_false": is_zero_false})
        for role in TEMPLATES
        for is_zero_false in (False, True)
    ]

    def load(self, changes):
        return load(self, self.role, changes, is_zero_false=self.is_zero_false)

    def test_numbers_in_every_notation(self):
        for name in NUMBERS:
            for text in ("69.56521739130436", "1e1", "1.5e+1", "2E1", "12"):
                self.load({name: text})

    def test_absent_values(self):
        cfg = self.load(dict.fromkeys((*NUMBERS, "region")))
        self.assertEqual(("default", 0), (cfg.region, cfg.killed_after_s))
        self.load(dict.fromkeys(("bootstrap", "bounds.fail-closed")))

    def test_zero(self):
        for name in NUMBERS:
            for text in ("0", "0.0"):
                self.load({name: text})

    def test_missing_addresses_are_named(self):
        exc = self.assertRaises(SettingsError, self.load, {"seeds": None})
        self.assertIn("seeds", exc.message)


class EntryTemplateTest(AsyncTestCase):
    """Guards against a retry budget that is not the one of the platform."""

    def load(self, changes, *, is_zero_false=False):
        return load(self, "direct-entry", changes, is_zero_false=is_zero_false)

    def test_retry_budget(self):
        cfg = self.load(
            {
                "bounds.budget-slack": "69.56521739130436",
                "bounds.retry-budget-ratio": "1.5",
                "bounds.budget-window-s": "2.5e1",
            }
        )
        budget = (cfg.retry_slack, cfg.retry_ratio, cfg.retry_window_s)
        self.assertEqual((69.56521739130436, 1.5, 25.0), budget)

    def test_no_retry_budget(self):
        changes = {"bounds.budget-slack": "0", "bounds.retry-budget-ratio": "0"}
        for is_zero_false in (False, True):
            cfg = self.load(changes, is_zero_false=is_zero_false)
            self.assertEqual((0, 0), (cfg.retry_slack, cfg.retry_ratio))

    def test_serve_when_cut(self):
        self.assertFalse(self.load({"bounds.fail-closed": "true"}).serve_when_cut)
        self.assertTrue(self.load({"bounds.fail-closed": None}).serve_when_cut)


class ControlTemplateTest(AsyncTestCase):
    """Guards against heartbeats of backend servers that are expected too often."""

    def test_heartbeat_in_milliseconds(self):
        for text, heartbeat_s in (("1.25e3", 1.25), ("0", 1.2), (None, 1.2)):
            cfg = load(self, "direct-control", {"heartbeat-ms": text})
            self.assertEqual(heartbeat_s, cfg.backend_heartbeat_s)
