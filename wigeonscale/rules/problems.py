"""Validation problems of a rules document and the error that reports them."""

__all__ = ["InvalidDocument", "Problem"]

from collections.abc import Iterable
from dataclasses import dataclass

from wigeonscale.errors import ErrorKind, SettingsError

MAX_VALUE_CHARS = 200


@dataclass(frozen=True, slots=True)
class Problem:
    """One validation problem of a document.

    Attributes:
        section: Name of the section, such as ``"rule urgent"``; may be empty.
        key: Key within the section; empty for a problem of the section itself.
        line: Line number in the document, from 1; 0 if there is none.
        value: The invalid value.
        allowed: Description of valid values.
        reason: Why the value is invalid, if ``allowed`` does not say so; may be empty.
    """

    section: str
    key: str
    line: int
    value: str
    allowed: str
    reason: str = ""

    def __str__(self) -> str:
        place = f"line {self.line}: [{self.section}]"
        key = f" {self.key} =" if self.key else ""
        value = self.value[:MAX_VALUE_CHARS]
        reason = f": {self.reason}" if self.reason else ""
        return f"{place}{key} {value!r}{reason}; allowed: {self.allowed}"


class InvalidDocument(SettingsError):  # noqa: N818 - describes the document
    """A rules document, or a change to one, is invalid.

    Args:
        problems: All problems found, at least one.
    """

    def __init__(self, problems: Iterable[Problem]):
        self.problems = tuple(sorted(problems, key=lambda item: item.line))
        message = "\n".join(str(problem) for problem in self.problems)
        super().__init__(message, kind=ErrorKind.INVALID_DOCUMENT)
