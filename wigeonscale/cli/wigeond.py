"""``wigeond ROLE --config FILE.ini``: runs one daemon until SIGTERM.

Exit codes: 0 after a graceful shutdown, 1 if the daemon failed, 2 if the command line
or the settings are invalid, 3 if the graceful shutdown timed out.
"""

__all__ = ["main"]

# Built into the interpreter; the imports of ``signal`` take milliseconds.
import _signal


def _ignore_sighup() -> None:
    """Ignore SIGHUP until the daemon installs a handler.

    SIGHUP requests a reload of the settings, which a starting daemon reads anyway, but
    its default action would terminate the process.
    """
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)


if __name__ == "__main__":
    # Before the other imports, since SIGHUP terminates the process until then.
    _ignore_sighup()

# ruff: noqa: E402
import gc
import importlib
import importlib.util
import os
import struct
import sys
from collections.abc import Sequence

# Names the folder that ``wigeonscale.cli.precompile`` wrote.
PRECOMPILED_ENV = "WIGEOND_PRECOMPILED"
# A .pyc file starts with a magic number, flags, and the source's mtime and size.
PYC_HEADER = struct.Struct("<4sIII")


def main(argv: Sequence[str] | None = None) -> int:
    """Run a daemon and return its exit code.

    Args:
        argv: Command-line arguments; None for those of the process.
    """
    # The imports of the daemon take half a second of a whole core.
    _ignore_sighup()
    use_precompiled(os.environ.get(PRECOMPILED_ENV, ""))
    # Also before the imports, because they cover the time that these take.
    args = sys.argv[1:] if argv is None else argv
    importlib.import_module("wigeonscale.daemons.early_marker").mark_first_start(args)
    early = importlib.import_module("wigeonscale.daemons.early_listener").listen_early(
        args
    )
    # Imported objects stay alive, so garbage collection during the imports would free
    # nothing and would delay the start.
    gc.disable()
    try:
        daemon = importlib.import_module("wigeonscale.cli.daemon")
        return daemon.run_daemon(argv, early=early)
    finally:
        gc.enable()


def use_precompiled(folder: str) -> bool:
    """Load compiled code from a folder if it was compiled from the same sources.

    With other sources Python would compile each module at each start.

    Args:
        folder: Folder that ``wigeonscale.cli.precompile`` wrote; empty for none.

    Returns:
        Whether the folder is used.
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
