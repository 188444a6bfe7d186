"""Types of settings values, each with its validation and a description."""

__all__ = [
    "AddressList",
    "Allowed",
    "BackendUrl",
    "IpAddress",
    "ListenAddress",
    "LogLevel",
    "NodeName",
    "Peer",
    "PeerList",
    "TokenDigest",
    "YesNo",
    "allowed_text",
    "byte_count",
    "count",
    "fraction",
    "number",
    "seconds",
    "seconds_or_default",
]

import ipaddress
import re
import typing
from dataclasses import dataclass
from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator, BeforeValidator, Field

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
MAX_PORT = 65535
ADDRESS_EXAMPLE = "ip:port, such as 127.0.0.1:8080"


@dataclass(frozen=True, slots=True)
class Allowed:
    """Description of the allowed values of a key, as metadata of its annotation."""

    text: str


@dataclass(frozen=True, slots=True)
class Peer:
    """A control replica, as named in the settings.

    Attributes:
        name: Node name of the replica.
        address: ``ip:port`` of its gRPC server.
    """

    name: str
    address: str


def allowed_text(annotation: object) -> str:
    """Return the description of the allowed values of an annotated key."""
    # The outermost annotation is the last one.
    for extra in reversed(typing.get_args(annotation)[1:]):
        if isinstance(extra, Allowed):
            return extra.text
    return str(annotation)


def seconds(low: float, high: float) -> object:
    """Return the type of a duration within a range, in seconds.

    A value with the unit ``ms`` is converted.
    """
    allowed = Allowed(f"seconds from {low:g} to {high:g}")
    return Annotated[
        float,
        BeforeValidator(_convert_milliseconds),
        Field(ge=low, le=high, allow_inf_nan=False),
        allowed,
    ]


def seconds_or_default(low: float, high: float, *, default: float) -> object:
    """Return the type of a duration within a range, in seconds; 0 for a default."""

    def check(value: float) -> float:
        if value == 0:
            return default
        if value < low:
            raise ValueError("too short")
        return value

    text = f"seconds from {low:g} to {high:g}, or 0 for {default:g}"
    return Annotated[seconds(0, high), AfterValidator(check), Allowed(text)]


def number(low: float, high: float) -> object:
    """Return the type of a real number within a range."""
    allowed = Allowed(f"a number from {low:g} to {high:g}")
    return Annotated[float, Field(ge=low, le=high, allow_inf_nan=False), allowed]


def count(low: int, high: int) -> object:
    """Return the type of an integer within a range."""
    allowed = Allowed(f"a whole number from {low} to {high}")
    return Annotated[int, Field(ge=low, le=high), allowed]


def byte_count(low: int, high: int) -> object:
    """Return the type of a size in bytes within a range."""
    allowed = Allowed(f"bytes, a whole number from {low} to {high}")
    return Annotated[int, Field(ge=low, le=high), allowed]


def fraction(low: float, high: float) -> object:
    """Return the type of a ratio within a range."""
    allowed = Allowed(f"a ratio from {low:g} to {high:g}")
    return Annotated[float, Field(ge=low, le=high, allow_inf_nan=False), allowed]


def _convert_milliseconds(value: object) -> object:
    if isinstance(value, str) and value.endswith("ms"):
        return float(value.removesuffix("ms")) / 1000
    return value


def _ip_address(value: str) -> str:
    return str(ipaddress.ip_address(value))


def _listen_address(value: str) -> str:
    return _checked_address(value, lowest_port=0)


def _peer_address(value: str) -> str:
    return _checked_address(value, lowest_port=1)


def _checked_address(value: str, lowest_port: int) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdigit()):
        raise ValueError("port is not a number")
    if not lowest_port <= int(port) <= MAX_PORT:
        raise ValueError("port out of range")
    return value


def _split_list(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(item.strip() for item in value.split(","))


def _check_unique(value: tuple) -> tuple:
    if len(set(value)) != len(value):
        raise ValueError("list contains a duplicate")
    return value


def _parse_peer(value: object) -> object:
    if not isinstance(value, str):
        return value
    name, _, address = value.partition("@")
    if not re.match(NAME_PATTERN, name):
        raise ValueError("name before @ is missing or invalid")
    return Peer(name=name, address=_peer_address(address))


def _parse_yes_no(value: object) -> object:
    if isinstance(value, bool):
        return value
    return {"yes": True, "no": False}[str(value)] if value in ("yes", "no") else None


def _check_backend_url(value: str) -> str:
    url = urlsplit(value)
    if url.scheme != "http" or not url.hostname or url.path not in ("", "/"):
        raise ValueError("must be an http URL with a host and no path")
    _peer_address(url.netloc)
    return value.rstrip("/")


NodeName = Annotated[
    str,
    Field(pattern=NAME_PATTERN),
    Allowed("1 to 63 letters, digits, dots, dashes or underscores"),
]
LogLevel = Annotated[
    Literal["DEBUG", "INFO", "WARNING", "ERROR"],
    Allowed("DEBUG, INFO, WARNING or ERROR"),
]
ListenAddress = Annotated[
    str, AfterValidator(_listen_address), Allowed(f"{ADDRESS_EXAMPLE}; port 0: any")
]
IpAddress = Annotated[
    str, AfterValidator(_ip_address), Allowed("an IP address, such as 10.0.0.1")
]
AddressList = Annotated[
    tuple[Annotated[str, AfterValidator(_peer_address)], ...],
    BeforeValidator(_split_list),
    AfterValidator(_check_unique),
    Allowed(f"a comma-separated list without duplicates of {ADDRESS_EXAMPLE}"),
]
PeerList = Annotated[
    tuple[Annotated[Peer, BeforeValidator(_parse_peer)], ...],
    BeforeValidator(_split_list),
    AfterValidator(_check_unique),
    Allowed(
        "a comma-separated list without duplicates of name@ip:port, such as"
        " c1@127.0.0.1:7001"
    ),
]
BackendUrl = Annotated[
    str,
    AfterValidator(_check_backend_url),
    Allowed("http://ip:port without a path, such as http://127.0.0.1:9000"),
]
YesNo = Annotated[bool, BeforeValidator(_parse_yes_no), Allowed("yes or no")]
TokenDigest = Annotated[
    str,
    Field(pattern="^([0-9a-f]{64})?$"),
    Allowed("a SHA-256 digest of 64 lower-case hex digits, or empty for none"),
]
