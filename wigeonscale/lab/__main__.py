"""Command line of the simulation; writes JSON lines to standard output."""

import argparse
import json
import sys
from collections.abc import Sequence

from wigeonscale.errors import SettingsError
from wigeonscale.lab.compare import compare
from wigeonscale.lab.scenario import load_scenario
from wigeonscale.lab.simulation import simulate

EXIT_BAD_INPUT = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Simulate a scenario or compare values of a constant; return the exit code.

    Args:
        argv: Command-line arguments; None for those of the process.
    """
    args = _parser().parse_args(argv)
    try:
        args.run(args)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m wigeonscale.lab",
        description="Simulates routing decisions against modelled engines.",
    )
    subparsers = parser.add_subparsers(required=True)
    run_parser = subparsers.add_parser("run", help="simulate a scenario")
    run_parser.set_defaults(run=_run)
    run_parser.add_argument("scenario", help="an INI file")
    run_parser.add_argument(
        "--seeds", type=_number_list(int), default=[1], metavar="N,N"
    )
    compare_parser = subparsers.add_parser(
        "compare", help="simulate a scenario with several values of a constant"
    )
    compare_parser.set_defaults(run=_compare)
    compare_parser.add_argument("scenario", help="an INI file")
    compare_parser.add_argument(
        "--vary",
        required=True,
        type=_parse_variation,
        metavar="MODULE.NAME=A,B",
        help="a numeric constant and its values, such as"
        " direct.choice.FULL_SHARE=1.1,1.3; the first value is the baseline",
    )
    compare_parser.add_argument(
        "--seeds", type=_number_list(int), default=[1, 2, 3], metavar="N,N"
    )
    return parser


def _number_list(kind):
    def parse(text: str) -> list:
        return [kind(each) for each in text.split(",")]

    return parse


def _parse_variation(text: str) -> tuple[str, list[float]]:
    name, _, values = text.partition("=")
    return name, _number_list(float)(values)


def _run(args: argparse.Namespace) -> None:
    scenario = load_scenario(args.scenario)
    for seed in args.seeds:
        _print_json(seed=seed, **simulate(scenario, seed=seed).as_dict())


def _compare(args: argparse.Namespace) -> None:
    scenario = load_scenario(args.scenario)
    name, values = args.vary
    for each in compare(scenario, name, values, args.seeds):
        _print_json(
            constant=name,
            value=each.value,
            gain=round(each.gain, 4),
            spread=round(each.spread, 4),
            in_time=[round(f.in_time_share(), 4) for f in each.results],
            turned_away=[f.turned_away for f in each.results],
            put_back=[f.put_back for f in each.results],
        )


def _print_json(**fields) -> None:
    print(json.dumps(fields), flush=True)


if __name__ == "__main__":
    sys.exit(main())
