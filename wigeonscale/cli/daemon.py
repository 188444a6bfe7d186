"""Parses the command line and the settings of a daemon, and runs it."""

__all__ = ["run_daemon"]

import argparse
import asyncio
import functools
import gc
import importlib
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from wigeonscale import __version__
from wigeonscale.cli.exit_codes import ExitCode
from wigeonscale.config import ROLES, NodeSettings, load_settings
from wigeonscale.daemons.early_listener import ROLE as EARLY_ROLE
from wigeonscale.daemons.early_listener import EarlyListener
from wigeonscale.errors import SettingsError, WigeonscaleError

EXIT_FAILED = 1
# The other roles read their settings only at start.
RELOADING_ROLES = frozenset({"direct-entry", "direct-control"})


def run_daemon(
    argv: Sequence[str] | None = None, *, early: EarlyListener | None = None
) -> int:
    """Run a daemon and return its exit code.

    Args:
        argv: Command-line arguments; None for those of the process.
        early: Result of listening before the imports; passed on to an entry.
    """
    args = _parser().parse_args(argv)
    try:
        cfg = load_settings(args.config, args.role)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return ExitCode.BAD_INPUT
    run = _load_runner(args.role)
    options = _reload_option(args)
    if early is not None and args.role == EARLY_ROLE:
        options["early"] = early
    # The imports are done, so garbage collection resumes; see wigeond.
    gc.freeze()
    gc.enable()
    try:
        return asyncio.run(run(cfg, **options)) or 0
    except (OSError, WigeonscaleError) as exc:
        print(f"wigeond {args.role} {cfg.name}: {exc}", file=sys.stderr)
        return EXIT_FAILED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="wigeond", description="Runs one daemon of wigeonscale until SIGTERM."
    )
    parser.add_argument("role", choices=list(ROLES), help="what this process does")
    parser.add_argument(
        "--config", required=True, metavar="F.ini", help="settings file of the role"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def _reload_option(args: argparse.Namespace) -> dict[str, Any]:
    if args.role not in RELOADING_ROLES:
        return {}
    return {"reload": functools.partial(load_settings, args.config, args.role)}


def _load_runner(role: str) -> Callable[[NodeSettings], Awaitable[int | None]]:
    # Imported on demand: the libraries of the other roles would cost memory.
    name = role.replace("-", "_")
    module = importlib.import_module(f"wigeonscale.daemons.{name}")
    return getattr(module, f"run_{name}")
