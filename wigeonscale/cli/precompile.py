"""``python -m wigeonscale.cli.precompile FOLDER``: compiles the direct roles' code.

Without docstrings and assertions an entry uses 36.8 instead of 39.4 MB of anonymous
memory after its imports; a deployment runs hundreds of entries. ``wigeond`` loads the
code from the folder named by ``WIGEOND_PRECOMPILED``, as long as it was compiled from
the same sources.
"""

__all__ = ["main"]

import importlib
import importlib.util
import pathlib
import py_compile
import sys
from collections.abc import Iterator, Sequence

ROLES = ("wigeonscale.daemons.direct_entry", "wigeonscale.daemons.direct_control")
# Optimization level that strips assertions and docstrings, as in ``python -OO``.
WITHOUT_DOCSTRINGS = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Compile into a folder and return the exit code.

    Args:
        argv: Command-line arguments, the folder only; None for those of the process.
    """
    (folder,) = sys.argv[1:] if argv is None else argv
    for role in ("wigeonscale.cli.daemon", *ROLES):
        importlib.import_module(role)
    sys.pycache_prefix = str(pathlib.Path(folder).resolve())
    for source in sorted(_sources()):
        # Stored under the file name that Python loads without -O.
        target = importlib.util.cache_from_source(str(source), optimization="")
        py_compile.compile(
            str(source), cfile=target, optimize=WITHOUT_DOCSTRINGS, quiet=1
        )
    return 0


def _sources() -> Iterator[pathlib.Path]:
    """Yield all source files in the folders of the loaded modules.

    Some modules of these folders are imported only at run time.
    """
    folders = set()
    for module in list(sys.modules.values()):
        origin = getattr(getattr(module, "__spec__", None), "origin", None) or ""
        if origin.endswith(".py"):
            folders.add(pathlib.Path(origin).parent)
    for folder in folders:
        yield from folder.glob("*.py")


if __name__ == "__main__":
    sys.exit(main())
