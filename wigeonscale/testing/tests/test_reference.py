import importlib
import pathlib
import re

from wigeonscale.testing import AsyncTestCase

ROOT = pathlib.Path(__file__).parents[3]
ROW = re.compile(r"^\| `(wigeonscale\.\w+)` \| .+ \| (.*) \|$", re.MULTILINE)


class ReferenceTest(AsyncTestCase):
    def test_lists_the_public_names_of_each_package(self):
        text = (ROOT / "docs" / "reference.md").read_text(encoding="utf-8")
        listed = {
            package: re.findall(r"`(\w+)`", names)
            for package, names in ROW.findall(text)
        }
        wanted = {}
        for path in sorted(ROOT.glob("wigeonscale/*/__init__.py")):
            package = f"wigeonscale.{path.parent.name}"
            module = importlib.import_module(package)
            wanted[package] = list(getattr(module, "__all__", []))
        self.assertEqual(wanted, {name: listed.get(name) for name in wanted})
