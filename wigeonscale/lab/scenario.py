"""Scenario of a simulation: model, fleet, load and faults, read from an INI file."""

__all__ = ["Burst", "Loss", "Scenario", "load_scenario"]

import configparser
import dataclasses
from collections.abc import Iterator, Mapping
from typing import Annotated

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from wigeonscale.errors import SettingsError
from wigeonscale.routes import EngineProfile

Seconds = Annotated[float, Field(ge=0, le=3600, allow_inf_nan=False)]
Rate = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=0, le=10_000)]


validated_dataclass = dataclass(
    frozen=True, slots=True, kw_only=True, config=ConfigDict(extra="forbid")
)


@validated_dataclass
class Burst:
    """Temporary change of the request rate.

    Attributes:
        at_s: Start, in seconds of simulated time.
        for_s: Duration in seconds.
        factor: Multiplier of the request rate of all domains.
    """

    at_s: Seconds
    for_s: Seconds
    factor: Rate


@validated_dataclass
class Loss:
    """Simultaneous failure of engines of one domain that hold neighbouring layers.

    Attributes:
        at_s: Time of the failure, in seconds of simulated time.
        domain: Failure domain of the engines.
        count: Number of engines that fail.
        for_s: Seconds until the layers are served again, by the same or other engines.
        from_share: Position of the first failed engine among the engines of the domain
            in order of their layers, as a share from 0 to 1.
    """

    at_s: Seconds
    domain: str
    count: Count
    for_s: Seconds = 4.0
    from_share: Annotated[float, Field(ge=0, le=1)] = 0.3


@validated_dataclass
class Scenario:
    """Fleet, load and faults of a simulation.

    Attributes:
        model: Profile of the served model.
        engines: Number of engines by domain and kind of accelerator.
        entries: Number of entries by domain.
        per_s: Requests per second by domain.
        seconds: Duration of request arrivals, in seconds. The simulation ends once all
            requests are answered or rejected.
        word_s: Interval between two load reports of an entry, in seconds.
        bursts: Temporary changes of the request rate.
        losses: Failures of engines.
    """

    model: EngineProfile
    engines: Mapping[str, Mapping[str, Count]]
    entries: Mapping[str, Annotated[int, Field(ge=1, le=10_000)]]
    per_s: Mapping[str, Rate]
    seconds: Seconds
    word_s: Annotated[float, Field(ge=0.02, le=60)] = 0.5
    bursts: tuple[Burst, ...] = ()
    losses: tuple[Loss, ...] = ()


def load_scenario(path: str) -> Scenario:
    """Read a scenario from an INI file.

    Args:
        path: An INI file with the sections ``[model]``, ``[accelerator KIND]``,
            ``[engines DOMAIN]``, ``[entries]``, ``[per_s]``, ``[play]``, and any of
            ``[burst NAME]`` and ``[loss NAME]``.

    Raises:
        SettingsError: The file cannot be read or is invalid; the message names the
            file, the problem and the offending value.
    """
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section="\0"
    )
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream, source=path)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    try:
        scenario = TypeAdapter(Scenario).validate_python(_raw_fields(parser))
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc.message}") from exc
    except ValidationError as exc:
        problems = [
            f"{path}: {'.'.join(map(str, each['loc']))} = {each['input']!r}:"
            f" {each['msg']}"
            for each in exc.errors()
        ]
        raise SettingsError("\n".join(problems)) from exc
    problems = [f"{path}: {problem}" for problem in _inconsistencies(scenario)]
    if problems:
        raise SettingsError("\n".join(problems))
    return scenario


def _raw_fields(parser: configparser.ConfigParser) -> dict:
    """Return the unvalidated fields of a scenario from the sections of its file."""
    fields: dict = {"engines": {}, "bursts": [], "losses": []}
    model: dict = {}
    kinds: dict = {}
    for section in parser.sections():
        values = dict(parser[section])
        kind, _, name = section.partition(" ")
        match kind:
            case "model":
                model = values
            case "accelerator":
                kinds[name] = {"name": name, **values}
            case "engines":
                fields["engines"][name] = values
            case "burst":
                fields["bursts"].append(values)
            case "loss":
                fields["losses"].append(values)
            case "play":
                fields |= values
            case _:
                fields[section] = values
    known = {field.name for field in dataclasses.fields(EngineProfile)}
    for key in model.keys() - known:
        raise SettingsError(f"[model] {key} = {model[key]!r}: unknown key")
    return fields | {"model": model | {"accelerators": kinds}}


def _inconsistencies(scenario: Scenario) -> Iterator[str]:
    kinds = scenario.model.accelerators
    for domain, counts in scenario.engines.items():
        for kind in counts.keys() - kinds.keys():
            yield f"[engines {domain}] {kind}: no [accelerator {kind}]"
    for domain in scenario.per_s.keys() - scenario.entries.keys():
        yield f"[per_s] {domain}: no entries there"
    for loss in scenario.losses:
        if loss.domain not in scenario.engines:
            yield f"loss: domain = {loss.domain!r}: no engines there"
    if not kinds:
        yield "no [accelerator KIND]"
