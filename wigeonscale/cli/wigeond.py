"""``wigeond ROLE --config FILE.ini``: runs one daemon until SIGTERM.

Exit codes: 0 after a graceful shutdown, 1 when the daemon failed, 2 when the
command line or the settings are wrong, 3 when the shutdown was cut at its bound.
"""

__all__ = ["main"]

import gc
import importlib
import importlib.util
import os
import signal
import struct
import sys
from collections.abc import Sequence

# Folder of what ``wigeonscale.cli.precompile`` made.
PRECOMPILED_ENV = "WIGEOND_PRECOMPILED"
# A compiled file begins with a magic number, flags, and its source's time and size.
PYC_HEADER = struct.Struct("<4sIII")


def main(argv: Sequence[str] | None = None) -> int:
    """Run a daemon and return its exit code.

    Args:
        argv: Arguments; None for those of the process.
    """
    # SIGHUP asks to read the settings, which a daemon that starts does anyway; its
    # default action would end the process. Ignored before the imports, which take
    # half a second of a whole core, until the daemon has a handler of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    use_precompiled(os.environ.get(PRECOMPILED_ENV, ""))
    # Also before the imports: it is there for the time that they take.
    early = importlib.import_module("wigeonscale.daemons.early_listener").listen_early(
        sys.argv[1:] if argv is None else argv
    )
    # What is loaded stays, so looking through it for garbage again and again is in
    # vain and would delay the moment from which it serves.
    gc.disable()
    try:
        daemon = importlib.import_module("wigeonscale.cli.daemon")
        return daemon.run_daemon(argv, early=early)
    finally:
        gc.enable()


def use_precompiled(folder: str) -> bool:
    """Load code from a folder from now on, if it was made from the same sources.

    Args:
        folder: As ``wigeonscale.cli.precompile`` made it; empty for none.

    Returns:
        Whether it is used. Otherwise each module would be compiled at each start.
    """
    previous = sys.pycache_prefix
    sys.pycache_prefix = os.path.abspath(folder) if folder else previous
    if folder and _matches_source(__file__):
        return True
    sys.pycache_prefix = previous
    return False


def _matches_source(source: str) -> bool:
    try:
        source_stat = os.stat(source)
        with open(importlib.util.cache_from_source(source), "rb") as stream:
            header = PYC_HEADER.unpack(stream.read(PYC_HEADER.size))
    except (OSError, struct.error):
        return False
    source_fields = (
        int(source_stat.st_mtime) & 0xFFFFFFFF,
        source_stat.st_size & 0xFFFFFFFF,
    )
    return header == (importlib.util.MAGIC_NUMBER, 0, *source_fields)


if __name__ == "__main__":
    sys.exit(main())
