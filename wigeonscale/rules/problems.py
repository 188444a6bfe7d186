"""What is wrong with a rules document, and the error that says so."""

__all__ = ["InvalidDocument", "Problem"]

from collections.abc import Iterable
from dataclasses import dataclass

from wigeonscale.errors import ErrorKind, SettingsError

MAX_VALUE_CHARS = 200


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong with a document.

    Attributes:
        section: Name of the section, such as ``"rule urgent"``; may be empty.
        key: Key within the section; empty when the section itself is wrong.
        line: Line number in the document, from 1; 0 when there is none.
        value: The offending value.
        allowed: What would be accepted.
        reason: Why the value does not fit, where that is not plain; may be empty.
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


class InvalidDocument(SettingsError):  # noqa: N818 - names the document's state
    """A rules document or a change to one that cannot be accepted.

    Args:
        problems: Everything found wrong, at least one.
    """

    def __init__(self, problems: Iterable[Problem]):
        self.problems = tuple(sorted(problems, key=lambda item: item.line))
        message = "\n".join(str(problem) for problem in self.problems)
        super().__init__(message, kind=ErrorKind.INVALID_DOCUMENT)
