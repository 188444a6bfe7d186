"""Port to the data folder of a replica, and its adapter for a local disk."""

__all__ = ["DiskFolder", "Folder"]

import asyncio
import contextlib
import errno
import fcntl
import logging
import os
import pathlib
from collections.abc import Callable, Iterator
from typing import Protocol

from wigeonscale.errors import SettingsError

LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".new"
DISK_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
# Space returns only when something is deleted; an attempt costs one failed write.
DISK_FULL_RETRY_S = 0.25

logger = logging.getLogger(__name__)


class Folder(Protocol):
    """Files of one replica; data is synced to disk when a writing method returns.

    Every method may raise ``OSError`` whose ``filename`` is the file concerned.
    """

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""

    async def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: a crash leaves either the old or the new one."""

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""

    def close(self) -> None:
        """Release the resources of the adapter."""


class DiskFolder:
    """A folder on a local disk, locked by one process at a time.

    Writes run in a thread so that a slow disk does not delay heartbeats.

    Args:
        path: The folder; created if it does not exist.

    Raises:
        SettingsError: Another process has locked the folder.
    """

    def __init__(self, *, path: str | os.PathLike[str]):
        self._path = pathlib.Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock_fd = os.open(self._path / LOCK_NAME, os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock_fd)
            raise SettingsError(
                f"data folder {self._path} is locked by another process"
            ) from exc
        self._fds: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        try:
            with self._set_error_filename(name):
                return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None

    async def append(self, name: str, data: bytes) -> None:
        """Append ``data`` to a file and sync it."""
        with self._set_error_filename(name):
            await self._retry_while_full(self._append, name, data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically by syncing a temporary file and renaming it."""
        with self._set_error_filename(name):
            await self._retry_while_full(self._replace, name, data)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        with self._set_error_filename(name):
            await asyncio.to_thread(self._truncate, name, size)

    def close(self) -> None:
        """Close the files and release the lock of the folder."""
        for fd in self._fds.values():
            os.close(fd)
        self._fds.clear()
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1

    async def _retry_while_full(
        self, write: Callable[[str, bytes], None], name: str, data: bytes
    ) -> None:
        """Write in a thread and retry while the disk is full.

        A replica whose disk is full acknowledges nothing. It waits instead of
        exiting, so that it keeps serving reads from memory and stays a member.
        """
        was_full = False
        while True:
            try:
                await asyncio.to_thread(write, name, data)
            except OSError as exc:
                if exc.errno not in DISK_FULL_ERRNOS:
                    raise
                if not was_full:
                    logger.error(
                        "cannot write %s, retrying until the disk has free space: %s",
                        name,
                        exc,
                    )
                was_full = True
                await asyncio.sleep(DISK_FULL_RETRY_S)
            else:
                if was_full:
                    logger.warning("wrote %s: the disk has free space again", name)
                return

    @contextlib.contextmanager
    def _set_error_filename(self, name: str) -> Iterator[None]:
        try:
            yield
        except OSError as exc:
            exc.filename = str(self._path / name)  # not set by read and fsync
            raise

    def _append(self, name: str, data: bytes) -> None:
        fd = self._open(name)
        size = os.fstat(fd).st_size
        try:
            _write_all(fd, data)
        except OSError:
            # A partial write must not remain in front of the next attempt.
            os.ftruncate(fd, size)
            raise
        os.fsync(fd)

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self._path / (name + TEMPORARY_SUFFIX)
        fd = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        self._close_file(name)
        os.replace(temporary, self._path / name)
        self._sync_directory()

    def _truncate(self, name: str, size: int) -> None:
        fd = self._open(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def _open(self, name: str) -> int:
        if name not in self._fds:
            flags = os.O_CREAT | os.O_APPEND | os.O_WRONLY
            self._fds[name] = os.open(self._path / name, flags, 0o600)
            self._sync_directory()
        return self._fds[name]

    def _close_file(self, name: str) -> None:
        if name in self._fds:
            os.close(self._fds.pop(name))

    def _sync_directory(self) -> None:
        fd = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
