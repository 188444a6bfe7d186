"""Heartbeats of backend servers, read into the project's own announcement."""

__all__ = ["Farewell", "Heartbeat", "read_farewell", "read_heartbeat"]

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    ValidationError,
)

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.state import DEFAULT_INCARNATION
from wigeonscale.wire import wire_pb2 as wire

DRAINING = "draining"
# ip:port, as backend servers listen.
ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
LARGEST_INT64 = 2**63 - 1

# Unix millisecond of the start of the backend server, in all that it says of itself.
Born = Annotated[StrictInt, Field(gt=0, le=LARGEST_INT64)]
Text = Annotated[StrictStr, Field(min_length=1)]
Count = Annotated[StrictInt, Field(ge=0, lt=2**31)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Layers(_Model):
    # "from" is the first layer, "to" one more than the last.
    first: Annotated[Count, Field(alias="from")] = 0
    end: Annotated[Count, Field(alias="to")] = 0


class _Loaded(_Model):
    name: StrictStr = ""


class _Heartbeat(_Model):
    service: Text
    address: Annotated[StrictStr, Field(pattern=ADDRESS)]
    zone: Text
    slots: Count
    state: Literal["ready", "draining"]
    # Number of the heartbeat. In an engine's report the same name counts orders.
    seq: Annotated[StrictInt, Field(ge=0, le=LARGEST_INT64)]
    born: Born | None = None
    # Present on model engines only.
    models: list[_Loaded] | None = None
    layers: _Layers | None = None
    # Name of the engine's accelerator, not the kind of a route.
    kind: StrictStr = ""


class _Farewell(_Model):
    born: Born | None = None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat.

    Attributes:
        backend: What the backend server says of itself.
        sequence: Number of the heartbeat, growing.
    """

    backend: wire.Backend
    sequence: int


@dataclass(frozen=True, slots=True)
class Farewell:
    """What a backend server says when it goes.

    Attributes:
        incarnation: The start that goes; None where it does not say.
    """

    incarnation: int | None


def read_heartbeat(backend_id: str, content: bytes) -> Heartbeat:
    """Return what a heartbeat says.

    Args:
        backend_id: Name of the incarnation, from the path.
        content: JSON body.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``, naming what is wrong.
    """
    try:
        beat = _Heartbeat.model_validate_json(content)
    except ValidationError as exc:
        raise _refusal(f"heartbeat of {backend_id!r}", exc) from exc
    is_engine = beat.models is not None
    layers = beat.layers or _Layers()
    backend = wire.Backend(
        agent_id=backend_id,
        incarnation=beat.born or DEFAULT_INCARNATION,
        started_ms=beat.born or 0,
        address=beat.address,
        domain=beat.zone,
        kind=wire.ENGINE if is_engine else wire.SERVICE,
        service=beat.service,
        accelerator=beat.kind,
        first_layer=layers.first,
        last_layer=layers.end - 1,
        draining=beat.state == DRAINING,
        slots=beat.slots,
    )
    return Heartbeat(backend, beat.seq)


def read_farewell(backend_id: str, content: bytes) -> Farewell:
    """Return what a backend server says when it goes; most say nothing.

    Args:
        backend_id: Its name, from the path.
        content: JSON body; empty for none.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``, naming what is wrong.
    """
    if not content.strip():
        return Farewell(None)
    try:
        return Farewell(_Farewell.model_validate_json(content).born)
    except ValidationError as exc:
        raise _refusal(f"farewell of {backend_id!r}", exc) from exc


def _refusal(what: str, exc: ValidationError) -> WigeonscaleError:
    first = exc.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(step) for step in first["loc"]) or "body"
    return WigeonscaleError(ErrorKind.BAD_REQUEST, f"{what}: {place}: {first['msg']}")
