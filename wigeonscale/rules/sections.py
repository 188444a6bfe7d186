"""Splits a rules document into sections and parses single sections."""

__all__ = ["SectionParts", "key_line", "parse_section", "split_sections"]

import configparser
import re
import threading
import typing
from collections.abc import Iterator
from dataclasses import dataclass

from pydantic import ValidationError

from wigeonscale.config.keys import NAME_PATTERN, allowed_text
from wigeonscale.rules.problems import Problem
from wigeonscale.rules.schema import KINDS, Parsed, SectionModel

HEADER = re.compile(r"^\[(?P<name>[^\n]*)\][ \t\r]*$", re.MULTILINE)
KEY_LINE = re.compile(r"^(?P<key>[^\s=#;\[][^=\n]*?)\s*=", re.MULTILINE)
SECTION_ALLOWED = "[organisation NAME], [pipeline NAME], [service NAME], [rule NAME]"


@dataclass(frozen=True, slots=True)
class SectionParts:
    """The text of one section and its location in the document.

    Attributes:
        name: Name in the header, such as ``"rule urgent"``.
        text: The header, the comments directly above it and the lines below it.
        line: First line of the text in the document, from 1.
    """

    name: str
    text: str
    line: int


def split_sections(text: str) -> Iterator[SectionParts]:
    """Split a document into its sections.

    Args:
        text: Text of the document. Comment lines directly above a header belong to
            its section; any text before them at the start belongs to the first
            section.
    """
    headers = list(HEADER.finditer(text))
    starts = [_start_with_comments(text, header.start()) for header in headers]
    starts[:1] = [0] * len(starts[:1])
    ends = [*starts[1:], len(text)]
    line = 1
    for header, start, end in zip(headers, starts, ends, strict=False):
        part = text[start:end]
        yield SectionParts(header["name"].strip(), part, line)
        line += part.count("\n")


def _start_with_comments(text: str, start: int) -> int:
    while start > 0:
        above = text.rfind("\n", 0, start - 1) + 1
        if text[above : above + 1] not in ("#", ";"):
            break
        start = above
    return start


def parse_section(parts: SectionParts) -> Parsed | list[Problem]:
    """Parse a section into the object that it describes.

    Args:
        parts: The section.

    Returns:
        The object, or all problems of an invalid section.
    """
    kind, _, name = parts.name.partition(" ")
    header_line = parts.line + _line_of(parts.text, HEADER, 0)
    if kind not in KINDS or not re.match(NAME_PATTERN, name):
        return [Problem(parts.name, "", header_line, parts.name, SECTION_ALLOWED)]
    values = _read_values(parts, header_line)
    if isinstance(values, list):
        return values
    section_cls, build = KINDS[kind]
    try:
        return build(name, section_cls.model_validate(values))
    except ValidationError as exc:
        return list(_value_problems(parts, section_cls, values, header_line, exc))


def _read_values(
    parts: SectionParts, header_line: int
) -> dict[str, str] | list[Problem]:
    parser = _PARSERS.parser
    parser.clear()
    try:
        parser.read_string(parts.text)
    except configparser.DuplicateOptionError as exc:
        line = parts.line + exc.lineno - 1
        return [Problem(parts.name, exc.option, line, exc.option, "each key once")]
    except configparser.MissingSectionHeaderError as exc:
        line = parts.line + exc.lineno - 1
        return [Problem(parts.name, "", line, exc.line.strip(), SECTION_ALLOWED)]
    except configparser.ParsingError as exc:
        return [_line_problem(parts, line) for line, _ in exc.errors]
    except configparser.DuplicateSectionError as exc:
        line = parts.line + exc.lineno - 1
        return [Problem(parts.name, "", line, exc.section, "one header a section")]
    if len(parser.sections()) != 1:
        return [
            Problem(parts.name, "", header_line, parts.name, "one header a section")
        ]
    return dict(parser.items(parser.sections()[0]))


class _Parsers(threading.local):
    """One parser per thread, since creating one takes longer than parsing a section."""

    def __init__(self):
        self.parser = configparser.RawConfigParser(
            delimiters=("=",), default_section="\0"
        )


_PARSERS = _Parsers()


def _line_problem(parts: SectionParts, line: int) -> Problem:
    text = parts.text.split("\n")[line - 1]
    return Problem(parts.name, "", parts.line + line - 1, text, "KEY = VALUE")


def _value_problems(
    parts: SectionParts,
    section_cls: type[SectionModel],
    values: dict[str, str],
    header_line: int,
    exc: ValidationError,
) -> Iterator[Problem]:
    fields = section_cls.model_fields
    annotations = typing.get_type_hints(section_cls, include_extras=True)
    # Lists and unions have one error per item, but each key is reported once.
    reasons: dict[str, str] = {}
    for error in exc.errors():
        reason = str(error.get("ctx", {}).get("error", ""))
        reasons.setdefault(str(error["loc"][0]), reason)
    for key, reason in reasons.items():
        line = key_line(parts, key) or header_line
        if key not in fields:
            allowed = f"one of the keys {', '.join(fields)}"
            yield Problem(parts.name, key, line, values[key], allowed)
            continue
        allowed = allowed_text(annotations[key])
        if key not in values:
            yield Problem(parts.name, key, header_line, "", f"{allowed} (missing)")
            continue
        yield Problem(parts.name, key, line, values[key], allowed, reason)


def key_line(parts: SectionParts, key: str) -> int:
    """Return the line of a key in the document, or 0 if there is none.

    Args:
        parts: The section that holds the key.
        key: Key to find, in lower case.
    """
    for match in KEY_LINE.finditer(parts.text):
        if match["key"].lower() == key:
            return parts.line + parts.text.count("\n", 0, match.start())
    return 0


def _line_of(text: str, pattern: re.Pattern, default: int) -> int:
    match = pattern.search(text)
    return text.count("\n", 0, match.start()) if match else default
