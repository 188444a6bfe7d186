import dataclasses
import pathlib
import re

from wigeonscale.config import (
    AgentSettings,
    ControlSettings,
    DirectControlSettings,
    DirectEntrySettings,
    EntrySettings,
)
from wigeonscale.config.load import SHARED_KEYS
from wigeonscale.config.settings import NodeSettings
from wigeonscale.errors import ERROR_RESPONSES
from wigeonscale.testing import AsyncTestCase

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATING.md"
NODE_KEYS = {field.name for field in dataclasses.fields(NodeSettings)}


class OperatingPageTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.text = PAGE.read_text(encoding="utf-8")

    def section(self, name):
        return (
            self.text.split(f"### `[{name}]`\n")[1].split("\n## ")[0].split("\n### ")[0]
        )

    def test_every_key_of_every_role_is_listed(self):
        roles = {
            "entry": EntrySettings,
            "agent": AgentSettings,
            "control": ControlSettings,
            "direct-entry": DirectEntrySettings,
            "direct-control": DirectControlSettings,
        }
        for role, model in roles.items():
            keys = {field.name for field in dataclasses.fields(model)} - NODE_KEYS
            rows = re.findall(r"^\| ([a-z_, ]+) \|", self.section(role), re.MULTILINE)
            listed = {key.strip() for row in rows for key in row.split(",")} - {"key"}
            self.assertEqual(keys, listed, role)

    def test_keys_of_all_roles_are_listed(self):
        table = self.text.split("### All roles\n")[1].split("\n### ")[0]
        rows = re.findall(r"^\| ([a-z()]+) \| ([a-z_, ]+) \|", table, re.MULTILINE)
        listed = {
            (place, key.strip()) for place, keys in rows for key in keys.split(",")
        }
        wanted = {SHARED_KEYS.get(name, ("(role)", name)) for name in NODE_KEYS}
        self.assertEqual(wanted, listed - {("section", "key")})

    def test_every_error_kind_has_its_row_and_status(self):
        for kind, answer in ERROR_RESPONSES.items():
            self.assertIn(f"| {kind} | {answer.status} |", self.text)
