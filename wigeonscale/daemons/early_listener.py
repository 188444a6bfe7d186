"""Listens for callers before an entry is loaded, where nobody else can serve them.

Load pattern: all VMs lose power, or all processes are killed, and start together. The
libraries of an entry take a second to load on a small share of a core. Callers that are
refused meanwhile spend the one more try that they have within milliseconds, at an entry
that does not listen either. Those that connect wait in the kernel's queue and are
served as soon as the entry runs.

While other entries serve, a refused caller is better off: its next try goes to one of
them. Whether they do cannot be known yet; where control answers, this process was
started alone.
"""

__all__ = ["EarlyListener", "listen_early"]

import configparser
import select
import socket
from collections.abc import Sequence
from dataclasses import dataclass

ROLE = "direct-entry"
CONFIG_OPTION = "--config"
# Opening a connection to a replica takes some 2 ms; a VM without power never answers.
CONTROL_CONNECT_TIMEOUT_S = 0.05
# As for the server that takes it over.
BACKLOG = 512


@dataclass(frozen=True, slots=True)
class EarlyListener:
    """What became of listening early.

    Attributes:
        sock: The listening socket; None where it does not listen.
        reason: Why, or why not.
    """

    sock: socket.socket | None
    reason: str


def listen_early(argv: Sequence[str]) -> EarlyListener:
    """Listen for callers if this process is an entry and control does not answer.

    Nothing is checked here: a command line or settings that cannot be used are left to
    the daemon, which says what is wrong with them.

    Args:
        argv: Arguments of the process.

    Example:
        >>> listen_early(["control", "--config", "c.ini"]).reason
        'not an entry'
    """
    if not argv or argv[0] != ROLE:
        return EarlyListener(None, "not an entry")
    try:
        settings = _read_section(_config_path(argv))
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


def _config_path(argv: Sequence[str]) -> str:
    return argv[list(argv).index(CONFIG_OPTION) + 1] if CONFIG_OPTION in argv else ""


def _read_section(path: str) -> configparser.SectionProxy:
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    with open(path, encoding="utf-8") as stream:
        parser.read_file(stream)
    return parser[ROLE]


def _any_accepts(hosts: Sequence[str], port: int) -> bool:
    """Return whether a connection to one of the hosts opens at once."""
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
