"""``wigeonctl status|pipelines|backends|drain``: shows and drains components."""

__all__ = ["drain_backend", "show_backends", "show_pipelines", "show_status"]

import argparse
from collections.abc import Iterator

from wigeonscale.cli.admin_client import AdminClient
from wigeonscale.cli.output import Output, format_table
from wigeonscale.errors import ErrorKind, WigeonscaleError

NONE_TEXT = "-"


async def show_status(args: argparse.Namespace, client: AdminClient) -> Output:
    """Show all control replicas with the entries and agents connected to them.

    Raises:
        WigeonscaleError: No replica responded.
    """
    pages, missing = await client.read_each(client.addresses, "/admin/status")
    if not pages:
        raise WigeonscaleError(ErrorKind.NO_QUORUM, "; ".join(missing.values()))
    replicas = [{"http_address": address, **page} for address, page in pages.items()]
    text = f"{_replica_table(replicas)}\n\n{_watcher_table(replicas)}"
    notes = tuple(f"unreachable: {message}" for message in missing.values())
    return Output(text, {"replicas": replicas, "unreachable": missing}, notes)


def _replica_table(replicas: list[dict]) -> str:
    headers = ["REPLICA", "ROLE", "TERM", "REVISION", "APPLIED", "COMMITTED"]
    headers += ["FRESH", "CLAIMS", "WATCHERS", "HTTP"]
    keys = ["node_id", "role", "term", "revision", "applied_index", "commit_index"]
    keys += ["fresh", "claims"]
    rows = [
        [
            *(replica[key] for key in keys),
            len(replica["watchers"]),
            replica["http_address"],
        ]
        for replica in replicas
    ]
    return format_table(headers, rows)


def _watcher_table(replicas: list[dict]) -> str:
    newest = max(replica["revision"] for replica in replicas)
    rows = []
    for replica in replicas:
        for watcher in replica["watchers"]:
            behind = newest - watcher["applied_revision"]
            rows.append(
                [
                    watcher["node_id"],
                    watcher["role"],
                    watcher["applied_revision"],
                    f"{behind} behind" if behind > 0 else "in force",
                    replica["node_id"],
                    watcher["http_address"],
                ]
            )
    headers = ["NODE", "ROLE", "REVISION", "STATE", "WATCHES", "HTTP"]
    return format_table(headers, sorted(rows, key=lambda row: (row[1], row[0])))


async def show_pipelines(args: argparse.Namespace, client: AdminClient) -> Output:
    """Show the pipelines and their chains."""
    answer = await client.read("/admin/pipelines")
    pipelines = answer["pipelines"]
    keys = ["name", "model", "layers", "replicas", "ready"]
    table = format_table(
        ["PIPELINE", "MODEL", "LAYERS", "WANTED", "READY"],
        [[pipeline[key] for key in keys] for pipeline in pipelines],
    )
    chains = [chain for pipeline in pipelines for chain in pipeline["chains"]]
    return Output(f"{table}\n\n{_chain_table(chains)}", answer)


def _chain_table(chains: list[dict]) -> str:
    rows = [
        [
            chain["chain_id"],
            chain["pipeline"],
            int(chain["epoch"]),
            chain["ready"],
            float(chain["rate"]),
            " ".join(_stage_texts(chain)),
        ]
        for chain in chains
    ]
    headers = ["CHAIN", "PIPELINE", "EPOCH", "READY", "RATE/S", "STAGES"]
    return format_table(headers, rows)


def _stage_texts(chain: dict) -> Iterator[str]:
    for stage in chain["stages"]:
        yield f"{stage['agent_id']}[{stage['first_layer']}-{stage['last_layer']}]"


async def show_backends(args: argparse.Namespace, client: AdminClient) -> Output:
    """Show the registered backend servers."""
    answer = await client.read("/admin/backends")
    rows = [
        [
            backend["agent_id"],
            backend["kind"].lower(),
            backend["model"] or backend["service"] or NONE_TEXT,
            _layers_text(backend),
            backend["version"] or NONE_TEXT,
            backend["domain"],
            "draining" if backend["draining"] or backend["drained"] else "serving",
            backend["replica"] or NONE_TEXT,
            backend["address"],
        ]
        for backend in answer["backends"]
    ]
    headers = ["AGENT", "KIND", "SERVES", "LAYERS", "VERSION", "DOMAIN", "STATE"]
    return Output(format_table([*headers, "WATCHES", "ADDRESS"], rows), answer)


def _layers_text(backend: dict) -> str:
    first, last = backend["first_layer"], backend["last_layer"]
    is_engine = backend["kind"] == "ENGINE"
    return f"{first}-{last}" if is_engine and last >= first else NONE_TEXT


async def drain_backend(args: argparse.Namespace, client: AdminClient) -> Output:
    """Drain a backend server, or undo that."""
    draining = not args.undo
    answer = await client.change(
        "/admin/drain",
        {
            "agent_id": args.agent,
            "draining": draining,
            "operation_id": args.operation_id,
        },
    )
    state = "takes no new work" if draining else "takes work again"
    data = {"agent_id": args.agent, "draining": draining, **answer}
    return Output(f"{args.agent} {state}", data)
