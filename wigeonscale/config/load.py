"""Loads and validates the settings of one role from an INI file."""

__all__ = ["ROLES", "load_settings"]

import configparser
import dataclasses
import difflib
import functools
import os
from collections.abc import Iterator

from pydantic import TypeAdapter, ValidationError

from wigeonscale.config.keys import allowed_text
from wigeonscale.config.settings import (
    AgentSettings,
    ControlSettings,
    DirectControlSettings,
    DirectEntrySettings,
    EntrySettings,
    NodeSettings,
)
from wigeonscale.errors import SettingsError

ROLES: dict[str, type[NodeSettings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "control": ControlSettings,
    "direct-entry": DirectEntrySettings,
    "direct-control": DirectControlSettings,
}
# Keys in sections shared by all roles; all other keys are in the section of the role.
SHARED_KEYS = {
    "name": ("node", "name"),
    "domain": ("node", "domain"),
    "region": ("node", "region"),
    "log_level": ("log", "level"),
    "tls_ca": ("tls", "ca"),
    "tls_cert": ("tls", "cert"),
    "tls_key": ("tls", "key"),
}

# A watcher needs this many heartbeats to replace a silent connection to control, even
# if the first replica that it tries instead is silent too.
MIN_HEARTBEATS_PER_LEASE = 6


def load_settings(
    path: str, role: str
) -> EntrySettings | AgentSettings | ControlSettings:
    """Load and validate the settings of one role.

    A key with an empty value has its default.

    Args:
        path: Path of the INI file.
        role: One of :data:`ROLES`.

    Returns:
        Settings in which every key is present and within its range.

    Raises:
        SettingsError: Lists every problem on its own line, with the file, section, key,
            value and allowed values.

    Example:
        >>> cfg = load_settings("entry.ini", "entry")  # doctest: +SKIP
        >>> cfg.listen  # doctest: +SKIP
        '10.0.0.1:8000'
    """
    if role not in ROLES:
        raise SettingsError(f"role {role!r}: allowed: {', '.join(ROLES)}")
    values = _read_sections(path)
    cls = ROLES[role]
    problems = list(_unknown_keys(values, cls, role))
    cfg = _build(values, cls, role, problems)
    if cfg is not None:
        problems += _inconsistencies(cfg, role)
    if problems:
        raise SettingsError("\n".join(f"{path}: {problem}" for problem in problems))
    return cfg


def _read_sections(path: str) -> dict[str, dict[str, str]]:
    # With another name for the default section, [DEFAULT] is an unknown section.
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section="\0"
    )
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream, source=path)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    except configparser.Error as exc:
        raise SettingsError(f"{path}: not an INI file: {exc.message}") from exc
    return {name: dict(parser[name]) for name in parser.sections()}


@functools.cache
def _attributes_by_key(
    cls: type[NodeSettings], role: str
) -> dict[tuple[str, str], str]:
    """Return the settings attribute for each pair of section and key."""
    names = [field.name for field in dataclasses.fields(cls)]
    return {SHARED_KEYS.get(name, (role, name)): name for name in names}


def _unknown_keys(
    values: dict[str, dict[str, str]], cls: type[NodeSettings], role: str
) -> Iterator[str]:
    attributes = _attributes_by_key(cls, role)
    sections = sorted({section for section, _ in attributes})
    for section, keys in values.items():
        if section not in sections:
            yield f"[{section}]: unknown section; allowed: {', '.join(sections)}"
            continue
        known = sorted(key for owner, key in attributes if owner == section)
        for key in keys:
            if key not in known:
                hint = _hint(key, known)
                yield f"[{section}] {key} = {keys[key]!r}: unknown key; {hint}"


def _hint(key: str, known: list[str]) -> str:
    close = difflib.get_close_matches(key, known, n=1)
    suggestion = f"perhaps {close[0]}; " if close else ""
    return f"{suggestion}allowed: {', '.join(known)}"


def _build(
    values: dict[str, dict[str, str]],
    cls: type[NodeSettings],
    role: str,
    problems: list[str],
) -> NodeSettings | None:
    attributes = _attributes_by_key(cls, role)
    has_default = {
        field.name
        for field in dataclasses.fields(cls)
        if field.default is not dataclasses.MISSING
    }
    given = {
        name: values[section][key]
        for (section, key), name in attributes.items()
        if key in values.get(section, {})
        and (values[section][key] or name not in has_default)
    }
    try:
        return _adapter(cls).validate_python(given)
    except ValidationError as exc:
        locations = {name: location for location, name in attributes.items()}
        # A list has one error per item; report its key once.
        names = dict.fromkeys(error["loc"][0] for error in exc.errors())
        for name in names:
            problems.append(_problem(cls, name, locations[name], given))
        return None


@functools.cache
def _adapter(cls: type[NodeSettings]) -> TypeAdapter:
    return TypeAdapter(cls)


def _problem(
    cls: type[NodeSettings], name: str, location: tuple[str, str], given: dict[str, str]
) -> str:
    section, key = location
    found = f"{key} = {given[name]!r}" if name in given else f"{key}: missing"
    field = next(field for field in dataclasses.fields(cls) if field.name == name)
    return f"[{section}] {found}; allowed: {allowed_text(field.type)}"


def _inconsistencies(cfg: NodeSettings, role: str) -> Iterator[str]:
    if cfg.heartbeat_s * MIN_HEARTBEATS_PER_LEASE > cfg.lease_s:
        yield (
            f"[{role}] heartbeat_s = {cfg.heartbeat_s:g}; allowed: at most a sixth of"
            f" lease_s = {cfg.lease_s:g}"
        )
    yield from _tls_inconsistencies(cfg)
    if isinstance(cfg, AgentSettings):
        yield from _agent_inconsistencies(cfg)
    if isinstance(cfg, ControlSettings):
        yield from _control_inconsistencies(cfg)


def _tls_inconsistencies(cfg: NodeSettings) -> Iterator[str]:
    paths = {"ca": cfg.tls_ca, "cert": cfg.tls_cert, "key": cfg.tls_key}
    for key, path in paths.items():
        if any(paths.values()) and not os.access(path, os.R_OK):
            yield f"[tls] {key} = {path!r}; allowed: a readable file, as for the others"
    if isinstance(cfg, ControlSettings) and cfg.https and cfg.tls is None:
        yield "[control] https = 'yes'; allowed: no without a [tls] section"


def _agent_inconsistencies(cfg: AgentSettings) -> Iterator[str]:
    if cfg.kind == "service" and not cfg.service:
        yield "[agent] service: missing; allowed: a name when kind = service"
    if cfg.kind == "engine" and cfg.service:
        yield f"[agent] service = {cfg.service!r}; allowed: empty when kind = engine"


def _control_inconsistencies(cfg: ControlSettings) -> Iterator[str]:
    names = [peer.name for peer in cfg.peers]
    if cfg.name not in names:
        yield (
            f"[control] peers = {', '.join(names)!r}; allowed: a list with this node,"
            f" {cfg.name!r}"
        )
    if len(set(names)) != len(names):
        yield f"[control] peers = {', '.join(names)!r}; allowed: each name once"
    if cfg.down_after_s < cfg.lease_s:
        yield (
            f"[control] down_after_s = {cfg.down_after_s:g}; allowed: at least"
            f" lease_s = {cfg.lease_s:g}, in which an agent replaces a silent"
            " connection"
        )
    if cfg.election_timeout_s < 2 * cfg.heartbeat_s:
        yield (
            f"[control] election_timeout_s = {cfg.election_timeout_s:g}; allowed: at"
            f" least twice heartbeat_s = {cfg.heartbeat_s:g}"
        )
