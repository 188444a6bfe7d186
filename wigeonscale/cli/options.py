"""Command-line parser of ``wigeonctl``."""

__all__ = ["build_parser"]

import argparse
import os
import uuid
from collections.abc import Callable

from wigeonscale import __version__
from wigeonscale.cli.burn_command import report_burn
from wigeonscale.cli.decisions_command import report_decisions
from wigeonscale.cli.output import Output
from wigeonscale.cli.rules_commands import (
    apply_rules,
    check_rules,
    roll_back_rules,
    show_history,
    show_rules,
)
from wigeonscale.cli.status_commands import (
    drain_backend,
    show_backends,
    show_pipelines,
    show_status,
)
from wigeonscale.config import ROLES, load_settings

CONTROL_ENV = "WIGEONCTL_CONTROL"
TOKEN_ENV = "WIGEONCTL_TOKEN"
MAX_TIMEOUT_S = 3600.0
MAX_WINDOW_S = 86_400.0
TLS_OPTIONS = {
    "ca": "authority of the replicas' certificates, when they have https = yes",
    "cert": "own certificate, signed by the same authority",
    "key": "private key of the own certificate",
}
EPILOG = """\
exit codes:
  0  done
  1  refused, or no replica could be reached; nothing was changed
  2  bad input: command line, file or document
  3  unknown outcome: sent, but every answer was lost; repeat the command with the
     operation id it printed, and the replicas return the first answer
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser.

    It sets ``args.run`` to the function of the command, and ``args.remote`` to whether
    that function needs a client of the control replicas.
    """
    parser = argparse.ArgumentParser(
        prog="wigeonctl",
        description="Operates wigeonscale through its control replicas.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    groups = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_rules(groups)
    _add_status(groups)
    _add_report(groups)
    _add_config(groups)
    return parser


def _add_command(
    group: argparse._SubParsersAction,
    name: str,
    summary: str,
    run: Callable,
    *,
    remote: bool = True,
) -> argparse.ArgumentParser:
    command = group.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    command.set_defaults(run=run, remote=remote)
    command.add_argument("--json", action="store_true", help="print a JSON object")
    if remote:
        _add_connection(command)
    return command


def _add_connection(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--control",
        default=os.environ.get(CONTROL_ENV, ""),
        metavar="IP:PORT,...",
        help=f"HTTP addresses of the control replicas; default: ${CONTROL_ENV}",
    )
    command.add_argument(
        "--token-file",
        metavar="FILE",
        help=f"file with the operators' token; default: ${TOKEN_ENV}",
    )
    for name, what in TLS_OPTIONS.items():
        command.add_argument(f"--tls-{name}", default="", metavar="FILE", help=what)
    command.add_argument(
        "--timeout",
        type=_positive_seconds,
        default=15.0,
        metavar="SECONDS",
        help="longest time to try the replicas in turn (default: 15)",
    )


def _positive_seconds(text: str) -> float:
    value = float(text)
    if not 0 < value <= MAX_TIMEOUT_S:
        raise argparse.ArgumentTypeError(
            f"{text}; allowed: more than 0, up to {MAX_TIMEOUT_S:g}"
        )
    return value


def _add_change_options(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--operation-id",
        default=uuid.uuid4().hex,
        metavar="ID",
        help="id of this operation; repeating it returns the first answer",
    )
    command.add_argument(
        "--operator",
        default=os.environ.get("USER", ""),
        metavar="NAME",
        help="who makes the change, for the history; default: $USER",
    )


def _add_rules(groups: argparse._SubParsersAction) -> None:
    rules = groups.add_parser("rules", help="the rules document")
    group = rules.add_subparsers(required=True, metavar="COMMAND")
    check = _add_command(
        group, "check", "Check a rules file.", check_rules, remote=False
    )
    check.add_argument("file", metavar="F.ini")
    apply = _add_command(group, "apply", "Put a rules file in force.", apply_rules)
    apply.add_argument("file", metavar="F.ini")
    apply.add_argument(
        "--base",
        type=int,
        metavar="REVISION",
        help="revision the file is based on; default: the one in force now",
    )
    _add_change_options(apply)
    _add_command(group, "show", "Show the rules in force.", show_rules)
    _add_command(group, "history", "Show the kept revisions.", show_history)
    rollback = _add_command(
        group, "rollback", "Put an earlier revision in force again.", roll_back_rules
    )
    rollback.add_argument("revision", type=int)
    _add_change_options(rollback)


def _add_status(groups: argparse._SubParsersAction) -> None:
    _add_command(groups, "status", "Show replicas, entries and agents.", show_status)
    _add_command(groups, "pipelines", "Show pipelines and chains.", show_pipelines)
    _add_command(groups, "backends", "Show backend servers.", show_backends)
    drain = _add_command(
        groups, "drain", "Give a backend server no new work.", drain_backend
    )
    drain.add_argument("agent", metavar="AGENT")
    drain.add_argument("--undo", action="store_true", help="give it work again")
    _add_change_options(drain)


def _add_report(groups: argparse._SubParsersAction) -> None:
    report = groups.add_parser("report", help="reports")
    group = report.add_subparsers(required=True, metavar="REPORT")
    burn = _add_command(
        group, "burn", "Show the use of each organisation's error budgets.", report_burn
    )
    burn.add_argument(
        "--picture",
        metavar="F.png",
        help="also draw the report as a picture; needs matplotlib",
    )
    decisions = _add_command(
        group,
        "decisions",
        "Count the decisions in log files by kind and time.",
        report_decisions,
        remote=False,
    )
    decisions.add_argument("files", nargs="+", metavar="LOG", help="JSON lines")
    decisions.add_argument(
        "--every",
        type=_window_s,
        default=2.0,
        metavar="S",
        help="length of a window, in seconds (default 2)",
    )


def _window_s(text: str) -> float:
    seconds = float(text)
    if not 0 < seconds <= MAX_WINDOW_S:
        raise argparse.ArgumentTypeError(f"{text}: allowed: over 0 to a day")
    return seconds


def _add_config(groups: argparse._SubParsersAction) -> None:
    config = groups.add_parser("config", help="settings of the daemons")
    group = config.add_subparsers(required=True, metavar="COMMAND")
    check = _add_command(
        group, "check", "Check a settings file.", _check_config, remote=False
    )
    check.add_argument("file", metavar="F.ini")
    check.add_argument("--role", required=True, choices=list(ROLES))


def _check_config(args: argparse.Namespace) -> Output:
    cfg = load_settings(args.file, args.role)
    data = {"file": args.file, "role": args.role, "name": cfg.name}
    return Output(f"{args.file}: valid settings of {args.role} {cfg.name}", data)
