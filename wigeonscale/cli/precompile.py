"""``python -m wigeonscale.cli.precompile FOLDER``: compiles the direct roles' code.

Without docstrings and assertions an entry takes 36.8 in place of 39.4 MB (anonymous
memory after its imports); a deployment holds hundreds of them. ``wigeond`` uses the
folder that the environment names, as long as it was made from the same sources.
"""

__all__ = ["main"]

import importlib
import importlib.util
import pathlib
import py_compile
import sys
from collections.abc import Iterator, Sequence

ROLES = ("wigeonscale.daemons.direct_entry", "wigeonscale.daemons.direct_control")
# Level at which Python leaves out assertions and docstrings.
WITHOUT_DOCSTRINGS = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Compile into a folder and return the exit code.

    Args:
        argv: The folder; None for the arguments of the process.
    """
    (folder,) = sys.argv[1:] if argv is None else argv
    for role in ("wigeonscale.cli.daemon", *ROLES):
        importlib.import_module(role)
    sys.pycache_prefix = str(pathlib.Path(folder).resolve())
    for source in sorted(_sources()):
        # Under the name that Python looks for when it is not told to optimize.
        target = importlib.util.cache_from_source(str(source), optimization="")
        py_compile.compile(
            str(source), cfile=target, optimize=WITHOUT_DOCSTRINGS, quiet=1
        )
    return 0


def _sources() -> Iterator[pathlib.Path]:
    """Yield the sources beside all that is loaded: more may be loaded at work."""
    folders = set()
    for module in list(sys.modules.values()):
        origin = getattr(getattr(module, "__spec__", None), "origin", None) or ""
        if origin.endswith(".py"):
            folders.add(pathlib.Path(origin).parent)
    for folder in folders:
        yield from folder.glob("*.py")


if __name__ == "__main__":
    sys.exit(main())
