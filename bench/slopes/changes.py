"""Cost of a configuration change, by number of watchers and size of the document."""

__all__ = ["measure"]

import asyncio
import time

import aiohttp

from bench.slopes.daemons import ControlGroup, agent, control_group, engine, entry
from bench.slopes.fit import Slope, fit
from bench.slopes.members import document, rule_change
from bench.slopes.processes import Child, measure_cpu, run_folder
from bench.slopes.watchers import total_counts, watch_streams
from wigeonscale.rules import Document, parse_document, patch_document

WATCHERS = (98, 392, 784)
ORGANISATIONS = (1_000, 10_000, 30_000)
RULES = (100, 500, 1_000)
CHANGES = 40
HTTP_CHANGES = 2
CHANGE_INTERVAL_S = 0.05
POLL_S = 0.05
HTTP_WHOLE_DOCUMENT = "cpu of one whole document by the operators' page"
HTTP_CHANGED_SECTION = "cpu of one changed section by the operators' page"
UNITS = {
    "cpu of one change": "us/change",
    HTTP_WHOLE_DOCUMENT: "us/change",
    HTTP_CHANGED_SECTION: "us/change",
    "memory": "MB",
    "memory at most": "MB",
    "cpu to take in the whole document": "ms",
    "length of the whole document": "B",
}
IDLE_S = 1.5
REACH_TIMEOUT_S = 30.0
WAIT_S_PER_ORGANISATION = 1 / 5_000


async def measure() -> list[Slope]:
    """Measure changes by number of watchers, then by size of the document."""
    return [
        *await _by_watchers(),
        *await _by_size("organisation", {n: (n, 0) for n in ORGANISATIONS}),
        *await _by_size("rule", {n: (RULES[-1], n) for n in RULES}),
    ]


async def _by_watchers() -> list[Slope]:
    cpu, leader_cpu, sent, delay = [], [], [], []
    with run_folder() as folder:
        async with control_group(folder) as group:
            leader = await group.leader()
            follower = (leader + 1) % len(group.replicas)
            roles = _control_roles(group, leader)
            await group.apply(0, document=document(10))
            revision = 1
            for count in WATCHERS:
                async with watch_streams(group, follower, count, "entry") as drivers:
                    idle = await measure_cpu(roles, asyncio.sleep(IDLE_S))
                    before = await total_counts(drivers)
                    committed = {}
                    changes = _commit_changes(group, revision, committed)
                    work = await measure_cpu(roles, changes)
                    revision += CHANGES
                    after = await _wait_reached(drivers, revision, count)
                us = work.us_per_item(CHANGES, idle)
                cpu.append((count, us["control follower"]))
                leader_cpu.append((count, us["control leader"]))
                bytes_sent = after["config_bytes"] - before["config_bytes"]
                sent.append((count, bytes_sent / CHANGES))
                delay.append((count, 1e3 * _worst_delay(after, committed)))
    return [
        fit("control follower, change: cpu", "watcher", "us/change", cpu),
        fit(
            "control leader, change: cpu", "follower's watcher", "us/change", leader_cpu
        ),
        fit("change: message bytes to all watchers", "watcher", "B/change", sent),
        fit("change: commit to the last watcher, worst", "watcher", "ms", delay),
    ]


async def _commit_changes(
    group: ControlGroup, revision: int, committed: dict[int, float]
) -> None:
    """Commit changes at a fixed interval and record when each was committed."""
    for number in range(revision, revision + CHANGES):
        await group.apply(number, changes=[rule_change(number)])
        committed[number + 1] = time.monotonic()
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def _wait_reached(drivers: list[Child], revision: int, count: int) -> dict:
    async with asyncio.timeout(REACH_TIMEOUT_S):
        while True:
            counts = await total_counts(drivers)
            if counts["reached"].get(revision, (0, 0.0))[0] >= count:
                return counts
            await asyncio.sleep(POLL_S)


def _worst_delay(counts: dict, committed: dict[int, float]) -> float:
    return max(counts["reached"][r][1] - at for r, at in committed.items())


async def _by_size(per: str, sizes: dict[int, tuple[int, int]]) -> list[Slope]:
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size, (organisations, rules) in sizes.items():
        figures = await _at_size(organisations, rules)
        for key, value in figures.items():
            points.setdefault(key, []).append((size, value))
    return [
        fit(f"{role}, {per}s: {what}", per, UNITS[what], line)
        for (role, what), line in points.items()
    ]


async def _at_size(organisations: int, rules: int) -> dict[tuple[str, str], float]:
    text = document(organisations, rules)
    with run_folder() as folder:
        async with (
            control_group(folder) as group,
            engine(folder, "engine", "m") as (_, backend),
            agent(folder, "agent", group.grpc, backend) as (agent_child, _),
            entry(folder, "entry", group.grpc) as (entry_child, _),
        ):
            others = {"entry": entry_child, "agent": agent_child}
            roles = _control_roles(group, await group.leader()) | others
            idle = await measure_cpu(roles, asyncio.sleep(IDLE_S))
            wait_s = IDLE_S + organisations * WAIT_S_PER_ORGANISATION
            document_applied = await measure_cpu(
                roles, _apply_document(group, text, wait_s)
            )
            # The leader may have lost its leadership while it parsed a long document.
            leader = await group.leader()
            roles = _control_roles(group, leader) | others
            idle_after = await measure_cpu(roles, asyncio.sleep(IDLE_S))
            changed = await measure_cpu(roles, _commit_changes(group, 1, {}))
            applied = await measure_cpu(roles, _apply_by_http(group, leader, text))
            base = parse_document(_with_changed_rule(text, HTTP_CHANGES - 1))
            patched = await measure_cpu(roles, _patch_by_http(group, leader, base))
            usages = {role: child.usage() for role, child in roles.items()}
    figures = {("document", "length of the whole document"): float(len(text))}
    for role, us in document_applied.us_per_item(1, idle).items():
        figures[role, "cpu to take in the whole document"] = us / 1e3
    for role, us in changed.us_per_item(CHANGES, idle_after).items():
        figures[role, "cpu of one change"] = us
    for what, work in ((HTTP_WHOLE_DOCUMENT, applied), (HTTP_CHANGED_SECTION, patched)):
        leader_us = work.us_per_item(HTTP_CHANGES, idle_after)["control leader"]
        figures["control leader", what] = leader_us
    for role in roles:
        figures[role, "memory"] = usages[role].rss_mb
        figures[role, "memory at most"] = usages[role].peak_mb
    return figures


def _control_roles(group: ControlGroup, leader: int) -> dict[str, Child]:
    follower = (leader + 1) % len(group.replicas)
    return {
        "control leader": group.replicas[leader],
        "control follower": group.replicas[follower],
    }


async def _apply_by_http(group: ControlGroup, leader: int, text: str) -> None:
    """Apply a complete document with one changed rule by an HTTP request."""
    for number in range(HTTP_CHANGES):
        body = {
            "base_revision": (await group.status(leader))["revision"],
            "operation_id": f"apply-{number}",
            "document": _with_changed_rule(text, number),
        }
        await _post(group, leader, body)


def _with_changed_rule(text: str, number: int) -> str:
    return text.replace("change 0", f"page {number}")


async def _patch_by_http(group: ControlGroup, leader: int, document: Document) -> None:
    """Read the document and send one changed section, as wigeonctl does."""
    for number in range(HTTP_CHANGES):
        url = f"http://{group.http[leader]}/admin/rules"
        async with aiohttp.ClientSession() as http, http.get(url) as answer:
            known = await answer.json()
        section = rule_change(number)
        document = patch_document(document, [section])
        fields = {"name": section.name, "text": section.text, "after": section.after}
        body = {
            "base_revision": known["revision"],
            "operation_id": f"patch-{number}",
            "changes": [fields],
            "digest": document.digest,
        }
        await _post(group, leader, body)


async def _post(group: ControlGroup, leader: int, body: dict) -> None:
    url = f"http://{group.http[leader]}/admin/rules/apply"
    async with aiohttp.ClientSession() as http, http.post(url, json=body) as answer:
        if answer.status != 200:
            raise RuntimeError(await answer.text())


async def _apply_document(group: ControlGroup, text: str, wait_s: float) -> None:
    await group.apply(0, document=text)
    await asyncio.sleep(wait_s)
