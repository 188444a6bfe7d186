"""Opens the listening socket of an entry before its libraries are imported.

This matters when all processes start together, after a power loss of all VMs or a kill
of all processes. Importing the libraries of an entry takes a second on a small share of
a core. A caller whose connection is refused meanwhile uses its only retry within
milliseconds, on another entry that does not listen yet either. A connection to a
listening socket waits in the kernel's accept queue instead, and is served as soon as
the entry runs.

If other entries are serving, refusing the connection is better, because the caller's
retry reaches one of them. The process cannot check this yet. If control responds,
only this process was started, and the others are assumed to serve.
"""

__all__ = ["EarlyListener", "listen_early"]

import configparser
import select
import socket
from collections.abc import Sequence
from dataclasses import dataclass

from wigeonscale.daemons.early_settings import read_early_settings

ROLE = "direct-entry"
# Connecting to a replica takes about 2 ms; a VM without power never responds.
CONTROL_CONNECT_TIMEOUT_S = 0.05
# Same as in the server that takes over the socket.
BACKLOG = 512


@dataclass(frozen=True, slots=True)
class EarlyListener:
    """Result of the attempt to listen early.

    Attributes:
        sock: The listening socket; None if the process does not listen early.
        reason: Why it listens early or does not, for the log.
    """

    sock: socket.socket | None
    reason: str


def listen_early(argv: Sequence[str]) -> EarlyListener:
    """Listen for callers if this process is an entry and control does not respond.

    Errors in the command line or the settings are not reported here. The daemon
    validates both later and reports what is wrong.

    Args:
        argv: Command-line arguments of the process.

    Example:
        >>> listen_early(["control", "--config", "c.ini"]).reason
        'not an entry'
    """
    if not argv or argv[0] != ROLE:
        return EarlyListener(None, "not an entry")
    try:
        settings = read_early_settings(argv)
        host, _, port = settings["listen"].rpartition(":")
        internal_port = int(settings["internal_port"])
        seeds = [
            seed.strip().rpartition(":")[0] for seed in settings["seeds"].split(",")
        ]
        if _any_accepts(seeds, internal_port):
            return EarlyListener(None, "control answers")
        return EarlyListener(_open_listener(host, int(port)), "control does not answer")
    except (OSError, ValueError, LookupError, configparser.Error) as exc:
        return EarlyListener(None, f"the settings cannot be used: {exc!r}")


def _any_accepts(hosts: Sequence[str], port: int) -> bool:
    """Return whether any host accepts a connection.

    Stops when no pending connection attempt ends within the connect timeout.
    """
    socks = []
    try:
        for host in hosts:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            socks.append(sock)
            sock.setblocking(False)
            sock.connect_ex((host, port))
        pending = list(socks)
        while pending:
            _, connected, _ = select.select([], pending, [], CONTROL_CONNECT_TIMEOUT_S)
            if not connected:
                return False
            for sock in connected:
                if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return True
                pending.remove(sock)
        return False
    finally:
        for sock in socks:
            sock.close()


def _open_listener(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
