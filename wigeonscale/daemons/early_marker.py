"""Marks the data folder of the first start before the libraries are imported.

A control replica that is killed during its imports is not at its first start when it
comes back, and its empty folder looks like that of a lost disk. If all replicas are
killed then, each of them waits to be admitted by the others.
"""

__all__ = ["mark_first_start"]

import configparser
import os
from collections.abc import Sequence

from wigeonscale.daemons.early_settings import read_early_settings

ROLE = "direct-control"
# As ``wigeonscale.replication.files`` names them, which takes long to import.
MARKER_NAME = "first-start"
VOTE_NAME = "vote"
YES = frozenset({"yes", "true", "on", "1"})


def mark_first_start(argv: Sequence[str]) -> bool:
    """Mark the data folder of a control replica that starts for the first time.

    Errors in the command line, the settings or the folder are not reported here, but
    by the daemon.

    Args:
        argv: Command-line arguments of the process.

    Returns:
        Whether the folder was marked now.

    Example:
        >>> mark_first_start(["direct-entry", "--config", "e.ini"])
        False
    """
    if not argv or argv[0] != ROLE:
        return False
    try:
        settings = read_early_settings(argv)
        is_first = settings.get("first_start", "").strip().lower() in YES
        folder = settings["data"].strip()
        if not is_first or os.path.exists(os.path.join(folder, VOTE_NAME)):
            return False
        os.makedirs(folder, exist_ok=True)
        _sync(os.path.join(folder, MARKER_NAME), os.O_CREAT | os.O_WRONLY)
        _sync(folder, os.O_RDONLY)
    except (OSError, ValueError, LookupError, configparser.Error):
        return False
    return True


def _sync(path: str, flags: int) -> None:
    fd = os.open(path, flags, 0o600)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
