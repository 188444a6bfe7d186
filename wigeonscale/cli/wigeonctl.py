"""``wigeonctl``: command-line client for operators.

Exit codes: 0 done, 1 refused, 2 bad input, 3 unknown outcome.
"""

__all__ = ["main"]

import argparse
import asyncio
import json
import os
import ssl
import sys
from collections.abc import Sequence

import aiohttp
import pydantic

from wigeonscale.adapters.channels import TlsFiles, client_tls_context
from wigeonscale.cli.admin_client import AdminClient
from wigeonscale.cli.exit_codes import ExitCode
from wigeonscale.cli.options import CONTROL_ENV, TOKEN_ENV, build_parser
from wigeonscale.cli.output import Output
from wigeonscale.config.keys import AddressList
from wigeonscale.errors import ErrorKind, RunState, SettingsError, WigeonscaleError
from wigeonscale.ports import SystemClock

BAD_INPUT_KINDS = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.INVALID_DOCUMENT, ErrorKind.INVALID_SETTINGS}
)
HINTS = {
    ErrorKind.REVISION_CONFLICT: "see `wigeonctl rules show`, then apply again",
    ErrorKind.FORBIDDEN: f"give the operators' token by --token-file or ${TOKEN_ENV}",
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Args:
        argv: Command-line arguments; None for those of the process.
    """
    args = build_parser().parse_args(argv)
    try:
        output = asyncio.run(_run_remote(args)) if args.remote else args.run(args)
    except WigeonscaleError as exc:
        return _print_error(args, exc)
    for note in output.notes:
        print(note, file=sys.stderr)
    print(json.dumps(output.data, indent=2) if args.json else output.text)
    return output.code


async def _run_remote(args: argparse.Namespace) -> Output:
    addresses = _addresses(args.control)
    token = _token(args.token_file)
    async with aiohttp.ClientSession() as session:
        client = AdminClient(
            session=session,
            addresses=addresses,
            clock=SystemClock(),
            timeout_s=args.timeout,
            token=token,
            tls=_tls(args),
        )
        return await args.run(args, client)


def _addresses(text: str) -> tuple[str, ...]:
    try:
        return pydantic.TypeAdapter(AddressList).validate_python(text)
    except pydantic.ValidationError as exc:
        raise SettingsError(
            f"--control (or ${CONTROL_ENV}) = {text!r}; allowed: a comma list of the"
            " control replicas' HTTP addresses, such as 127.0.0.1:7101"
        ) from exc


def _tls(args: argparse.Namespace) -> ssl.SSLContext | None:
    files = TlsFiles(ca=args.tls_ca, cert=args.tls_cert, key=args.tls_key)
    if not (files.ca or files.cert or files.key):
        return None
    try:
        return client_tls_context(files)
    except OSError as exc:
        raise SettingsError(
            f"--tls-ca, --tls-cert, --tls-key: give three readable PEM files: {exc}"
        ) from exc


def _token(path: str | None) -> str:
    if path is None:
        return os.environ.get(TOKEN_ENV, "")
    try:
        with open(path, encoding="utf-8") as stream:
            return stream.read().strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"--token-file {path}: cannot be read: {exc}") from exc


def _print_error(args: argparse.Namespace, exc: WigeonscaleError) -> int:
    code = _exit_code(exc)
    hint = _repeat_hint(args) if code is ExitCode.UNKNOWN else HINTS.get(exc.kind, "")
    if args.json:
        error = {"kind": exc.kind, "message": exc.message, "run": exc.run_state}
        print(json.dumps({"error": error, "hint": hint}, indent=2))
        return code
    print(
        f"wigeonctl: {_outcome_text(code)} ({exc.kind}): {exc.message}", file=sys.stderr
    )
    if hint:
        print(hint, file=sys.stderr)
    return code


def _repeat_hint(args: argparse.Namespace) -> str:
    operation_id = getattr(args, "operation_id", None)
    if operation_id is None:
        return ""
    base = getattr(args, "base", None)
    base_option = "" if base is None else f" --base {base}"
    return (
        f"repeat the command with --operation-id {operation_id}{base_option}"
        " to learn its outcome"
    )


def _exit_code(exc: WigeonscaleError) -> ExitCode:
    if exc.kind in BAD_INPUT_KINDS:
        return ExitCode.BAD_INPUT
    if exc.run_state is RunState.NOT_RUN:
        return ExitCode.REFUSED
    return ExitCode.UNKNOWN


def _outcome_text(code: ExitCode) -> str:
    return {
        ExitCode.REFUSED: "refused",
        ExitCode.BAD_INPUT: "bad input",
        ExitCode.UNKNOWN: "outcome unknown",
    }[code]


if __name__ == "__main__":
    sys.exit(main())
