"""Control daemon that counts its calls of ``os.fsync`` in a file.

Usage: ``python -m bench.slopes.counted_control COUNT_FILE SETTINGS_FILE``.
"""

__all__ = ["main", "read_count"]

import os
import pathlib
import struct
import sys

from wigeonscale.cli.wigeond import main as wigeond

COUNT = struct.Struct("<Q")


def read_count(path: pathlib.Path) -> int:
    """Return the number of syncs that a daemon has counted so far."""
    return COUNT.unpack(path.read_bytes())[0]


def main(args: list[str]) -> int:
    """Run ``wigeond control`` with ``os.fsync`` replaced by a counting version."""
    count_file, settings = args
    fd = os.open(count_file, os.O_CREAT | os.O_WRONLY, 0o600)
    sync = os.fsync
    count = 0

    def counted_sync(file):
        nonlocal count
        count += 1
        os.pwrite(fd, COUNT.pack(count), 0)
        sync(file)

    os.fsync = counted_sync
    return wigeond(["control", "--config", settings])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
