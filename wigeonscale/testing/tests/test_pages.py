import pathlib
import re

from wigeonscale.rules import parse_document
from wigeonscale.rules.schema import KINDS
from wigeonscale.testing import AsyncTestCase

ROOT = pathlib.Path(__file__).parents[3]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
CODE_PATH = re.compile(r"`([\w./]+(?:\.py|\.proto|/))`")
LINK = re.compile(r"\]\(([\w./-]+)\)")


class PathsTest(AsyncTestCase):
    def test_link_targets_of_every_page_exist(self):
        for page in PAGES:
            for target in LINK.findall(page.read_text(encoding="utf-8")):
                self.assertTrue((page.parent / target).exists(), (page.name, target))

    def test_modules_named_in_glossary_exist(self):
        text = (ROOT / "docs" / "GLOSSARY.md").read_text(encoding="utf-8")
        paths = CODE_PATH.findall(text)
        self.assertNotEqual([], paths)
        for path in paths:
            self.assertTrue((ROOT / "wigeonscale" / path).exists(), path)

    def test_every_package_and_folder_of_the_layout_exists(self):
        text = (ROOT / "docs" / "DEVELOPING.md").read_text(encoding="utf-8")
        layout = text.split("## Layout\n")[1].split("\n## ")[0]
        rows = [line.split("|")[1] for line in layout.splitlines() if "| `" in line]
        listed = {path for row in rows for path in CODE_PATH.findall(row)}
        for path in listed:
            places = (ROOT / "wigeonscale" / path, ROOT / path)
            self.assertTrue(any(place.exists() for place in places), path)
        packages = {
            f"{path.parent.name}/" for path in ROOT.glob("wigeonscale/*/__init__.py")
        }
        self.assertEqual(set(), packages - listed)


class RulesExamplesTest(AsyncTestCase):
    def test_example_documents_are_valid(self):
        for name, heading in (
            ("README.md", "## A first rules file\n"),
            ("docs/OPERATING.md", "## The rules document\n"),
        ):
            text = (ROOT / name).read_text(encoding="utf-8")
            document = parse_document(_first_block(text.split(heading)[1]))
            self.assertNotEqual([], list(document.rules), name)

    def test_every_key_of_every_section_is_listed(self):
        page = (ROOT / "docs" / "OPERATING.md").read_text(encoding="utf-8")
        text = page.split("## The rules document\n")[1].split("\n## ")[0]
        rows = re.findall(
            r"^\| (\w+) \| ([a-z_, ]+) \| .+ \| .+ \|$", text, re.MULTILINE
        )
        listed = {(kind, key) for kind, keys in rows for key in keys.split(", ")}
        wanted = {
            (kind, key) for kind, (cls, _) in KINDS.items() for key in cls.model_fields
        }
        self.assertEqual(wanted, {row for row in listed if row[0] in KINDS})


def _first_block(text):
    """Return the first indented block, dedented."""
    block = re.search(r"(?:^    .*\n|^\n)+", text[text.index("\n    ") :], re.MULTILINE)
    return re.sub(r"^    ", "", block[0], flags=re.MULTILINE).lstrip()
