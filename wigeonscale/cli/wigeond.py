"""``wigeond ROLE --config FILE.ini``: runs one daemon until SIGTERM.

Exit codes: 0 after a graceful shutdown, 1 when the daemon failed, 2 when the
command line or the settings are wrong, 3 when the shutdown was cut at its bound.
"""

__all__ = ["main"]

import importlib
import signal
import sys
from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run a daemon and return its exit code.

    Args:
        argv: Arguments; None for those of the process.
    """
    # SIGHUP asks to read the settings, which a daemon that starts does anyway; its
    # default action would end the process. Ignored before the imports, which take
    # half a second of a whole core, until the daemon has a handler of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return importlib.import_module("wigeonscale.cli.daemon").run_daemon(argv)


if __name__ == "__main__":
    sys.exit(main())
