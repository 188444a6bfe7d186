"""Announcements of backend servers and rules documents of any size."""

__all__ = ["announcements", "backend", "document", "rule_change"]

import zlib
from collections.abc import Iterable

from wigeonscale.wire import wire_pb2 as wire

MODELS = 35
DOMAINS = 7
REGIONS = 2
LAYERS = 48
LAYERS_PER_ENGINE = 16


def backend(name: str, *, version: str = "") -> wire.Backend:
    """Return the announcement of an engine's agent.

    Args:
        name: Name of the backend server, from which the other fields are derived.
        version: Model version; a new version makes the announcement a change.

    Returns:
        The announcement.
    """
    number = zlib.crc32(name.encode())
    return wire.Backend(
        agent_id=name,
        incarnation=(1 << 61) + number,
        address=f"10.{number % 200}.{number // 200 % 200}.{number % 250}:7443",
        domain=f"domain-{number % DOMAINS}",
        region=f"region-{number % REGIONS}",
        kind=wire.ENGINE,
        model=f"model-{number % MODELS}",
        accelerator=f"kind-{number % 3}",
        layer_rate=1000.0 + number % 17,
        layer_capacity=LAYERS_PER_ENGINE,
        last_layer=-1,
        checks_fencing=number % 2 == 0,
        version=version,
        link_rate=10_000.0,
    )


def announcements(
    names: Iterable[str], *, replica: str, version: str = ""
) -> list[wire.Command]:
    """Return commands that announce engines as attached to a control replica."""
    return [
        wire.Command(
            announce=wire.Announce(
                backend=backend(name, version=version), replica=replica
            )
        )
        for name in names
    ]


def document(organisations: int, rules: int = 0, pipelines: int = 0) -> str:
    """Return a rules document of a given size."""
    parts = [
        f"[organisation o{n}]\nkeys = key-{n}\nshare = 2\n"
        for n in range(organisations)
    ]
    parts += ["[service s]\n", "[pipeline p]\nmodel = m\nlayers = 12\n"]
    parts += [
        f"[pipeline p{n}]\nmodel = model-{n}\nlayers = {LAYERS}\nreplicas = 60\n"
        for n in range(pipelines)
    ]
    parts += [
        f"[rule r{n}]\nwhen = organisation is o{n} and path under /v1/\n"
        "then = route pipeline p\nlimit = 8\n"
        for n in range(rules)
    ]
    parts.append("[rule all]\nwhen = model is m\nthen = route pipeline p\n")
    parts.append(rule_change(0).text)
    parts.append("[rule last]\nwhen = always\nthen = refuse because no rule\n")
    return "\n".join(parts)


def rule_change(number: int) -> wire.SectionChange:
    """Return a change of the rule ``changing``; its text depends on the number."""
    text = (
        "[rule changing]\nwhen = model is changing and path under /v1/\n"
        f"then = refuse because change {number}\n"
    )
    return wire.SectionChange(name="rule changing", text=text, after="rule all")
