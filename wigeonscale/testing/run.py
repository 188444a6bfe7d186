"""Runs the tests and derives the exit code; used by ``make test``.

Usage: ``python -m wigeonscale.testing.run [dotted test names]``.
"""

__all__ = ["KnownRed", "main", "read_known_red"]

import pathlib
import re
import sys
import textwrap
import unittest
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parents[2]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
MAX_PRINTED_CHARS = 100
PACKAGES = ("wigeonscale", "demo", "bench")
# A dotted name, with the name of a scenario if the test has several.
DOTTED_NAME = re.compile(r"(\w+(?:\.\w+)*)(\(.*\))?")


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownRed:
    """Entries of KNOWN-RED.txt by what they name.

    Attributes:
        tests: Ids of tests that may fail.
        missing: Names that look like a test, but no such test exists.
        others: Texts of entries about scripts, days or seeds, which excuse no test.
    """

    tests: frozenset[str] = frozenset()
    missing: tuple[str, ...] = ()
    others: tuple[str, ...] = ()


def main(names: list[str]) -> int:
    """Run the named tests, or all tests, and return the exit code.

    Args:
        names: Dotted names of tests; empty for every test.

    Returns:
        0 when every failed test is listed in KNOWN-RED.txt, at least one test ran, and
        the list names at most ``MAX_KNOWN_RED`` tests, all of which exist; else 1.
    """
    loader = unittest.TestLoader()
    suite = loader.loadTestsFromNames(names) if names else _discover(loader)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known_red = read_known_red(KNOWN_RED.read_text() if KNOWN_RED.exists() else "")
    failed_ids = {case.id() for case, _ in result.failures + result.errors}
    failed_ids |= {case.id() for case in result.unexpectedSuccesses}
    for text in known_red.others:
        print(f"known red, no test: {textwrap.shorten(text, MAX_PRINTED_CHARS)}")
    for test_id in sorted(failed_ids & known_red.tests):
        print(f"known red: {test_id}")
    for test_id in sorted(failed_ids - known_red.tests):
        print(f"failed: {test_id}")
    for name in known_red.missing:
        print(f"{KNOWN_RED.name} names a test that does not exist: {name!r}")
    is_short = len(known_red.tests) <= MAX_KNOWN_RED
    if not is_short:
        print(
            f"{KNOWN_RED.name} names {len(known_red.tests)} tests, at most"
            f" {MAX_KNOWN_RED} are allowed"
        )
    passed = result.testsRun - len(failed_ids) - len(result.skipped)
    print(f"{passed} passed, {len(failed_ids)} failed, {len(result.skipped)} skipped")
    ok = (
        result.testsRun > 0
        and failed_ids <= known_red.tests
        and is_short
        and not known_red.missing
    )
    return 0 if ok else 1


def read_known_red(text: str) -> KnownRed:
    """Return the entries of KNOWN-RED.txt, one a line.

    What an entry names is its text up to the first comma. A dotted name is one of a
    test if it begins with a package of this repository or has a part that begins with
    ``test``.

    Args:
        text: Content of the file.

    Notes:
        Imports the modules of the named tests.
    """
    tests, missing, others = set(), [], []
    for line in filter(None, map(str.strip, text.splitlines())):
        name = line.split(",")[0].strip()
        if not _looks_like_test(name):
            others.append(line)
        elif _exists(name):
            tests.add(name)
        else:
            missing.append(name)
    return KnownRed(
        tests=frozenset(tests), missing=tuple(missing), others=tuple(others)
    )


def _looks_like_test(name: str) -> bool:
    match = DOTTED_NAME.fullmatch(name)
    if match is None:
        return False
    parts = match[1].split(".")
    is_ours = len(parts) > 1 and parts[0] in PACKAGES
    return is_ours or any(part.lower().startswith("test") for part in parts)


def _exists(name: str) -> bool:
    """Return whether a name is the id of one test, whatever its scenario."""
    base = DOTTED_NAME.fullmatch(name)[1]
    loader = unittest.TestLoader()
    try:
        suite = loader.loadTestsFromName(base)
    except (AttributeError, ImportError, TypeError):
        return False
    return not loader.errors and [case.id() for case in _cases(suite)] == [base]


def _cases(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    cases = []
    for each in suite:
        cases += _cases(each) if isinstance(each, unittest.TestSuite) else [each]
    return cases


def _discover(loader: unittest.TestLoader) -> unittest.TestSuite:
    suite = unittest.TestSuite()
    for package in PACKAGES:
        for folder in sorted((ROOT / package).rglob("tests")):
            suite.addTests(loader.discover(str(folder), top_level_dir=str(ROOT)))
    return suite


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
