import contextlib
import io
import pathlib
import signal
import subprocess
import sys

import fixtures

from wigeonscale.cli import daemon, wigeond
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.testing import AsyncTestCase

CONTROL = """\
[node]
name = c1
domain = aarhus-a
[control]
grpc = 127.0.0.1:0
http = 127.0.0.1:0
data = /tmp/none
peers = c1@127.0.0.1:7001
"""


class WigeondTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        self.path = self.folder / "c1.ini"

    def run_main(self, text, run=None):
        """Run the program in this process; return exit code and error output."""
        self.path.write_text(text)
        if run is not None:
            self.useFixture(
                fixtures.MonkeyPatch(f"{daemon.__name__}._load_runner", run)
            )
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = wigeond.main(["control", "--config", str(self.path)])
        return code, errors.getvalue()

    def test_wrong_settings_exit_2_before_any_daemon_is_imported(self):
        self.path.write_text(CONTROL.replace("c1@", "c2@") + "lodas = 3\n")
        program = (
            "import sys; from wigeonscale.cli.wigeond import main; code = main();"
            "print('wigeonscale.daemons.control' in sys.modules); sys.exit(code)"
        )
        argv = [sys.executable, "-c", program, "control", "--config", str(self.path)]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=60)
        self.assertEqual((2, "False\n"), (done.returncode, done.stdout))
        self.assertIn("[control] lodas = '3': unknown key; perhaps loads", done.stderr)
        self.assertIn("[control] peers = 'c2'", done.stderr)
        self.assertIn(str(self.path), done.stderr)

    def test_sighup_during_the_start_does_not_terminate_the_process(self):
        # Guards against a restarted daemon that a SIGHUP during its imports terminates
        # without a log line, as in soak runs with seeds 305 and 308.
        program = (
            "import os, signal, sys; from wigeonscale.cli import wigeond\n"
            "def start(name):\n"
            "    os.kill(os.getpid(), signal.SIGHUP)\n"
            "    print('goes on', name in sys.modules)\n"
            "    raise SystemExit(0)\n"
            "wigeond.importlib.import_module = start\n"
            "wigeond.main()"
        )
        argv = [sys.executable, "-c", program]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=60)
        # The handler is installed before the large imports.
        self.assertEqual((0, "goes on False\n"), (done.returncode, done.stdout))

    def test_sighup_is_ignored_before_any_other_import(self):
        # Guards against imports of the program itself during which a SIGHUP terminates
        # the process.
        program = (
            "import _signal, builtins, runpy, sys\n"
            "steps, load = [], builtins.__import__\n"
            "def record_import(name, names=None, *args, **kwargs):\n"
            "    if names and names.get('__name__') == '__main__':\n"
            "        steps.append(name)\n"
            "    return load(name, names, *args, **kwargs)\n"
            "def record_signal(signum, action):\n"
            "    steps.append(f'{signum:d} {action:d}')\n"
            "_signal.signal = record_signal\n"
            "sys.argv = ['wigeond', '--version']\n"
            "builtins.__import__ = record_import\n"
            "try:\n"
            "    runpy.run_module('wigeonscale.cli.wigeond', run_name='__main__')\n"
            "finally:\n"
            "    print(steps[:2])\n"
        )
        argv = [sys.executable, "-c", program]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=60)
        expected = ["_signal", f"{signal.SIGHUP:d} {signal.SIG_IGN:d}"]
        self.assertEqual(str(expected), done.stdout.splitlines()[-1], done.stderr)

    def test_import_of_the_program_changes_no_signal(self):
        program = (
            "import signal; before = signal.getsignal(signal.SIGHUP)\n"
            "import wigeonscale.cli.wigeond\n"
            "print(signal.getsignal(signal.SIGHUP) is before)"
        )
        argv = [sys.executable, "-c", program]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=60)
        self.assertEqual("True\n", done.stdout, done.stderr)

    def test_sighup_before_the_start_if_ignored_by_the_starter(self):
        # Guards against a reload that terminates a daemon whose interpreter still
        # starts, as in the soak run with seed 9.
        argv = [sys.executable, "-m", "wigeonscale.cli.wigeond", "--version"]
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        try:
            proc = subprocess.Popen(argv, stdout=subprocess.DEVNULL)
        finally:
            signal.signal(signal.SIGHUP, before)
        proc.send_signal(signal.SIGHUP)
        self.assertEqual(0, proc.wait(timeout=60))

    def test_exit_code_is_the_daemons(self):
        seen = []

        async def run(cfg):
            seen.append(cfg.name)
            return 3

        self.assertEqual(3, self.run_main(CONTROL, lambda role: run)[0])
        self.assertEqual(["c1"], seen)

    def test_error_of_the_daemon_is_printed(self):
        async def run(cfg):
            raise WigeonscaleError(ErrorKind.CORRUPT_LOG, "record 7 is damaged")

        code, errors = self.run_main(CONTROL, lambda role: run)
        self.assertEqual(1, code)
        self.assertEqual("wigeond control c1: record 7 is damaged\n", errors)
