"""Heartbeats of backend servers, read into the project's own announcement."""

__all__ = ["Heartbeat", "read_heartbeat"]

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire

DRAINING = "draining"
# Each start of a backend server has a name of its own, so that one number does.
INCARNATION = 1


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Layers(_Model):
    # "from" is the first layer, "to" one more than the last.
    first: Annotated[int, Field(alias="from", ge=0)] = 0
    end: Annotated[int, Field(alias="to", ge=0)] = 0
    version: int = 0


class _Loaded(_Model):
    name: str = ""
    version: int = 0


class _Heartbeat(_Model):
    service: Annotated[str, Field(min_length=1)]
    address: Annotated[str, Field(min_length=1)]
    zone: str = ""
    slots: int = 0
    state: str = ""
    # Number of the heartbeat. In an engine's report the same name counts orders.
    seq: int = 0
    # Present on model engines only.
    models: list[_Loaded] | None = None
    layers: _Layers | None = None
    # Name of the engine's accelerator, not the kind of a route.
    kind: str = ""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat.

    Attributes:
        backend: What the backend server says of itself.
        sequence: Number of the heartbeat, growing.
    """

    backend: wire.Backend
    sequence: int


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
        first = exc.errors(include_url=False, include_input=False)[0]
        raise WigeonscaleError(
            ErrorKind.BAD_REQUEST, f"heartbeat of {backend_id!r}: {first['msg']}"
        ) from exc
    is_engine = beat.models is not None
    layers = beat.layers or _Layers()
    backend = wire.Backend(
        agent_id=backend_id,
        incarnation=INCARNATION,
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
