"""The runner excuses exactly the failing tests that KNOWN-RED.txt names."""

import contextlib
import io
import pathlib

import fixtures

from wigeonscale.testing import AsyncTestCase, run

MODULE = "wigeonscale.testing.tests.failing_cases"
NAMES = [f"{MODULE}.FailingCase.test_{n}" for n in ("one", "two", "three", "four")]
SCENARIO = f"{MODULE}.ScenarioCase.test_scenario"


class RunTest(AsyncTestCase):
    def run_main(self, names, *entries):
        """Run tests with a list of known failures; return exit code and output."""
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        listed = folder / "KNOWN-RED.txt"
        listed.write_text("".join(f"{entry}\n" for entry in entries))
        self.useFixture(fixtures.MonkeyPatch(f"{run.__name__}.KNOWN_RED", listed))
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            code = run.main(list(names))
        return code, output.getvalue()

    def test_failure_that_is_not_listed_fails_the_run(self):
        code, output = self.run_main(NAMES[:2], f"{NAMES[0]}, seed 1, issue 9")
        self.assertEqual(1, code)
        self.assertIn(f"known red: {NAMES[0]}\n", output)
        self.assertIn(f"failed: {NAMES[1]}\n", output)

    def test_listed_failures_pass_and_are_printed(self):
        code, output = self.run_main(NAMES[:3], *[f"{n}, x" for n in NAMES[:3]])
        self.assertEqual(0, code)
        for name in NAMES[:3]:
            self.assertIn(f"known red: {name}\n", output)

    def test_more_listed_tests_than_allowed_fail_the_run(self):
        code, output = self.run_main(NAMES[:1], *[f"{n}, x" for n in NAMES])
        self.assertEqual(1, code)
        self.assertIn("names 4 tests, at most 3 are allowed", output)

    def test_entries_without_a_test_are_printed_and_not_counted(self):
        others = [
            "day trouble-1 of the small twin, fleetbench run a/b.toml trouble-1, low",
            "review/1, review/1/run.sh, an event comes twice",
            "review/other/budget.toml, fleetbench run, seeds 1 and 2",
            "soak seed 9, python -m wigeonscale.testing.soak --seeds 9, gone",
            "no unit test, soak seed 1123, python -m x, served nothing",
        ]
        code, output = self.run_main(NAMES[:3], *others, *NAMES[:3])
        self.assertEqual(0, code, output)
        for text in others:
            self.assertIn(f"known red, no test: {text}\n", output)

    def test_entries_without_a_test_excuse_no_failure(self):
        for entry in ("soak seed 9, x", f"review/1, {NAMES[0]}", f"see {NAMES[0]}, x"):
            code, output = self.run_main(NAMES[:1], entry)
            self.assertEqual(1, code, entry)
            self.assertIn(f"failed: {NAMES[0]}\n", output)

    def test_name_of_a_test_that_does_not_exist_fails_the_run(self):
        for name in (
            NAMES[0] + "x",
            f"{MODULE}.FailingCases.test_one",
            f"{MODULE}x.FailingCase.test_one",
            f"{MODULE}.FailingCase",
            MODULE,
            "wigeonscale.no.such.place",
            "FailingCase.test_one",
            "test_one",
            "unittest.loader._FailedTest.test_x",
        ):
            code, output = self.run_main([f"{SCENARIO}"], f"{SCENARIO}(bad)", name)
            self.assertEqual(1, code, name)
            self.assertIn(f"names a test that does not exist: {name!r}\n", output)

    def test_scenario_is_listed_by_its_name(self):
        for entries, expected in (
            ([f"{SCENARIO}(bad), x"], 0),
            ([f"{SCENARIO}(good), x"], 1),
            ([f"{SCENARIO}, x"], 1),
        ):
            self.assertEqual(expected, self.run_main([SCENARIO], *entries)[0], entries)

    def test_run_without_a_test_fails(self):
        self.assertEqual(1, self.run_main(["wigeonscale.testing.tests"])[0])
