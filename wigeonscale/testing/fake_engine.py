"""A fake model engine whose tokens reveal missed, repeated or reordered steps.

For each sequence every layer keeps a running digest of its inputs, in place of a KV
cache. A token therefore depends on the prompt and on the order in which layers and
positions ran.

Usage: ``python -m wigeonscale.testing.fake_engine --listen 127.0.0.1:0 --model M``.
"""

__all__ = ["FakeEngine", "expected_tokens", "main", "serve_engine"]

import argparse
import asyncio
import dataclasses
import hashlib
import json
import time
from collections.abc import Callable, Sequence

from aiohttp import web

from wigeonscale.adapters.engine_http import engine_routes
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.tokens import tokenise
from wigeonscale.ports import (
    CacheEvent,
    EngineInfo,
    EngineLoad,
    EngineResult,
    EngineStep,
)
from wigeonscale.testing.prefix_cache import PrefixCache


def _digest(*parts: str) -> str:
    return hashlib.blake2b("|".join(parts).encode(), digest_size=8).hexdigest()


def _run_layers(cache: dict[int, str], first: int, last: int, hidden: str) -> str:
    for layer in range(first, last + 1):
        cache[layer] = _digest(cache.get(layer, ""), str(layer), hidden)
        hidden = cache[layer]
    return hidden


def _token_text(hidden: str) -> str:
    return f"t{hidden[:8]} "


def expected_tokens(
    prompt: str | bytes, layers: int, max_tokens: int, end_share: int = 0
) -> list[str]:
    """Return the token texts that a correct run produces.

    Args:
        prompt: The prompt as forwarded by the entry.
        layers: Number of layers of the model.
        max_tokens: Maximum number of tokens.
        end_share: As passed to the engines; see :class:`FakeEngine`.

    Returns:
        The texts of all tokens, in order.
    """
    data = prompt.encode() if isinstance(prompt, str) else prompt
    cache: dict[int, str] = {}
    hidden = ""
    for piece in tokenise(data):
        hidden = _run_layers(cache, 0, layers - 1, piece)
    texts: list[str] = []
    while len(texts) < max_tokens:
        texts.append(_token_text(hidden))
        if int(hidden[-4:], 16) < end_share:
            break
        hidden = _run_layers(cache, 0, layers - 1, texts[-1])
    return texts


class FakeEngine:
    """Implements the engine port in memory.

    Args:
        name: Name written into the trace.
        info: Initial engine info; load orders change the version, adapters and
            loaded layer range.
        step_s: Fixed duration of one iteration, in seconds.
        sequence_s: Additional seconds per sequence of an iteration.
        load_s: Duration of a load order, in seconds.
        trace: Called with one record per sequence step, or None.
        end_share: Number of token ids, out of 65,536, that end their sequence.
        position_s: Additional seconds per position of an iteration, except for
            positions of a cached prefix.
        prefix_slots: Capacity of the prefix cache in prefixes; 0 disables it.
        lose_every: One cache event in this many is dropped; 0 drops none.

    Attributes:
        state: Current engine info.
        orders: Term, sequence number and action of each order carried out.
        caches: Digest of each layer, by sequence id.
        iterations: Iterations run so far.
        busy_s: Time spent in iterations, in seconds.
        failing: Whether info and run requests fail.
    """

    def __init__(
        self,
        *,
        name: str,
        info: EngineInfo,
        step_s: float = 0.0,
        sequence_s: float = 0.0,
        load_s: float = 0.0,
        trace: Callable[[dict], None] | None = None,
        end_share: int = 0,
        position_s: float = 0.0,
        prefix_slots: int = 0,
        lose_every: int = 0,
    ):
        self.name = name
        self.state = info
        self.step_s = step_s
        self.sequence_s = sequence_s
        self.load_s = load_s
        self.end_share = end_share
        self.position_s = position_s
        self.prefixes = PrefixCache(slots=prefix_slots, lose_every=lose_every)
        self.orders: list[tuple[int, int, str]] = []
        self.caches: dict[str, dict[int, str]] = {}
        self.iterations = 0
        self.busy_s = 0.0
        self.failing = False
        self._trace = trace
        self._last_order = (0, 0)
        self._iteration_lock = asyncio.Lock()

    async def info(self) -> EngineInfo:
        """Return the current engine info."""
        self._check_available()
        return self.state

    async def run(self, steps: Sequence[EngineStep]) -> list[EngineResult]:
        """Run one iteration; concurrent calls are serialized."""
        self._check_available()
        async with self._iteration_lock:
            started_at = time.monotonic()
            busy_s = self.step_s + self.sequence_s * len(steps)
            busy_s += self.position_s * sum(map(self._count_positions, steps))
            if busy_s:
                await asyncio.sleep(busy_s)
            results = [self._run_step(step) for step in steps]
            self.iterations += 1
            self.busy_s += time.monotonic() - started_at
            return results

    async def cancel(self, sequence_ids: Sequence[str]) -> None:
        """Cancel sequences and free their KV caches."""
        for sequence_id in sequence_ids:
            self.caches.pop(sequence_id, None)

    async def export_cache(self, sequence_id: str) -> bytes:
        """Return the KV cache of a sequence."""
        return json.dumps(self.caches.get(sequence_id, {})).encode()

    async def import_cache(self, sequence_id: str, epoch: int, cache: bytes) -> None:
        """Import a KV cache exported by another engine with the same layers."""
        loaded = {int(layer): digest for layer, digest in json.loads(cache).items()}
        self.caches[sequence_id] = loaded

    async def load(self) -> EngineLoad:
        """Return the engine's load report."""
        return EngineLoad(running=len(self.caches), queued=0)

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the prefix cache events that were not dropped."""
        return self.prefixes.events_after(after)

    async def order(
        self, *, term: int, sequence: int, action: str, args: dict[str, object]
    ) -> None:
        """Carry out an order.

        Raises:
            WigeonscaleError: The engine checks fencing tokens and has carried out
                a newer order.
        """
        if self.state.checks_fencing and (term, sequence) < self._last_order:
            raise WigeonscaleError(
                ErrorKind.STALE_TERM,
                f"order ({term}, {sequence}) is older than {self._last_order}",
            )
        self._last_order = max(self._last_order, (term, sequence))
        if action == "load":
            await asyncio.sleep(self.load_s)
            self._install(args)
        self.orders.append((term, sequence, action))

    def _install(self, args: dict[str, object]) -> None:
        self.caches.clear()
        self.prefixes.clear()
        self.state = dataclasses.replace(
            self.state,
            first_layer=int(args["first_layer"]),
            last_layer=int(args["last_layer"]),
            version=str(args.get("version", "")),
            adapters=tuple(filter(None, [str(args.get("adapter", ""))])),
        )

    def _check_available(self) -> None:
        if self.failing:
            raise WigeonscaleError(
                ErrorKind.BACKEND_FAILED,
                f"engine {self.name} fails",
                run_state=RunState.UNKNOWN,
            )

    def _count_positions(self, step: EngineStep) -> int:
        """Return the number of positions to compute, without a cached prefix."""
        if not step.first:
            return step.count
        pieces = _decode_inputs(step.hidden) or []
        return step.count - self.prefixes.lookup(step.sequence_id, pieces)

    def _run_step(self, step: EngineStep) -> EngineResult:
        first, last = self.state.first_layer, self.state.last_layer
        requested = (step.first_layer, step.last_layer)
        if step.last_layer >= 0 and requested != (first, last):
            return _failed(step, f"layers {requested} wanted, {(first, last)} loaded")
        if step.first:
            self.caches[step.sequence_id] = {}
        cache = self.caches.get(step.sequence_id)
        if cache is None:
            return _failed(step, f"no KV cache for sequence {step.sequence_id}")
        inputs = _decode_inputs(step.hidden)
        if inputs is None or len(inputs) != step.count:
            return _failed(step, f"{step.hidden!r} is no {step.count} inputs")
        outputs = [_run_layers(cache, first, last, piece) for piece in inputs]
        self._trace_step(step, first, last)
        # The engine does not know whether its stage is the last one, so it returns
        # both the hidden state and the token.
        token_id = int(outputs[-1][-4:], 16)
        return EngineResult(
            step.sequence_id,
            step.position,
            hidden=json.dumps(outputs).encode(),
            token_id=token_id,
            token_text=_token_text(outputs[-1]),
            end=token_id < self.end_share,
        )

    def _trace_step(self, step: EngineStep, first: int, last: int) -> None:
        if self._trace is None:
            return
        self._trace(
            {
                "engine": self.name,
                "sequence": step.sequence_id,
                "epoch": step.epoch,
                "position": step.position,
                "count": step.count,
                "layers": [first, last],
                "at_ns": time.monotonic_ns(),
            }
        )


def _decode_inputs(hidden: bytes) -> list[str] | None:
    try:
        inputs = json.loads(hidden)
    except ValueError:
        return None
    is_texts = isinstance(inputs, list) and all(isinstance(i, str) for i in inputs)
    return inputs if is_texts else None


def _failed(step: EngineStep, reason: str) -> EngineResult:
    return EngineResult(step.sequence_id, step.position, error=reason)


async def serve_engine(
    engine: FakeEngine, host: str = "127.0.0.1", port: int = 0
) -> tuple[web.AppRunner, str]:
    """Serve an engine over HTTP.

    Returns:
        The runner, which the caller must clean up, and the URL of the engine.
    """
    app = web.Application(client_max_size=1 << 28)
    app.add_routes(engine_routes(engine))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0]
    return runner, f"http://{bound[0]}:{bound[1]}"


def main(argv: list[str] | None = None) -> None:
    """Serve one fake engine until the process is stopped."""
    parser = argparse.ArgumentParser(prog="fake_engine", description=__doc__)
    parser.add_argument("--listen", required=True, help="ip:port")
    parser.add_argument("--model", required=True)
    parser.add_argument("--name", default="")
    parser.add_argument("--layer-capacity", type=int, default=8)
    parser.add_argument("--layer-rate", type=float, default=1000.0)
    parser.add_argument("--link-rate", type=float, default=10000.0)
    parser.add_argument("--accelerator", default="generic")
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--step-ms", type=float, default=0.0)
    parser.add_argument("--sequence-ms", type=float, default=0.0)
    parser.add_argument("--load-ms", type=float, default=0.0)
    parser.add_argument("--end-share", type=int, default=0)
    parser.add_argument("--position-ms", type=float, default=0.0)
    parser.add_argument("--prefix-slots", type=int, default=0)
    parser.add_argument("--trace", default="", help="file for JSON lines")
    args = parser.parse_args(argv)
    asyncio.run(_serve(args))


async def _serve(args: argparse.Namespace) -> None:
    host, _, port = args.listen.rpartition(":")
    engine = FakeEngine(
        name=args.name or args.listen,
        info=EngineInfo(
            model=args.model,
            accelerator=args.accelerator,
            layer_rate=args.layer_rate,
            layer_capacity=args.layer_capacity,
            slots=args.slots,
            checks_fencing=not args.ignore_fencing,
            link_rate=args.link_rate,
        ),
        step_s=args.step_ms / 1000.0,
        sequence_s=args.sequence_ms / 1000.0,
        load_s=args.load_ms / 1000.0,
        trace=json_lines_writer(args.trace) if args.trace else None,
        end_share=args.end_share,
        position_s=args.position_ms / 1000.0,
        prefix_slots=args.prefix_slots,
    )
    runner, url = await serve_engine(engine, host, int(port))
    print(f"engine {engine.name} at {url}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def json_lines_writer(path: str) -> Callable[[dict], None]:
    """Return a function that appends records to a file in JSON Lines format."""
    file = open(path, "a", buffering=1, encoding="utf-8")

    def write(record: dict) -> None:
        file.write(json.dumps(record) + "\n")

    return write


if __name__ == "__main__":
    main()
