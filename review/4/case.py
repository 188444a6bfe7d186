"""An engine sends the answer "not run" twice, the second time late.

The entry has sent the request again meanwhile, over the same channel, and takes the
second copy for the answer to that send.
"""

import asyncio
import itertools
import random
from collections import Counter

from review.standins2.deployment import wait_until
from review.standins2.documents import HOST, desired_state, model_service, route
from review.standins2.engines import Engine, Fleet
from review.standins2.http1 import Channel, reply_bytes
from review.standins2.runner import BROKEN, HELD, has_trouble, run_case

LAYERS = 80
KIND = {"name": "a", "size-mb": 110000.0, "pace": 1.0, "read-x": 1.0}
ENGINES = 4
# Share of the sends that a second engine of the path has no memory for.
SHORT_OF_MEMORY = 0.4
# Largest dose of "garble" with "extra late" in the site file: 0.6 of the engines, 0.03
# of their answers, for 5 s. It comes several times.
SPOILT = 0.03
SPOILT_FOR_S = 5.0
PAUSE_S = 3.0
TIMES = 8


class SpoiltEngine(Engine):
    """An engine that sends some answers a second time, late.

    The second copy comes where the next answer on the channel is expected.
    """

    rng = random.Random(7)
    is_spoilt = False

    def __init__(self, **options):
        super().__init__(**options)
        self._copies = {}

    async def reject(self, status, headers, writer):
        """Reject a request; a second copy of the answer may follow."""
        await super().reject(status, headers, writer)
        is_spoilt = self.is_spoilt and self.layers[0] == 0
        if is_spoilt and self.rng.random() < SPOILT:
            self._copies[writer] = headers["Attempt-Id"], reply_bytes(status, headers)

    async def handle(self, req, writer):
        """Answer one request, behind a late copy of an answer if there is one."""
        copy = self._copies.pop(writer, None)
        if copy is not None:
            self.record.add(
                f"{self.name} answers {copy[0]} once more, with"
                f" {req.headers.get('attempt-id')} next on the channel"
            )
            writer.write(copy[1])
            await writer.drain()
            await asyncio.sleep(0.005)
        await super().handle(req, writer)


async def send_requests(deployment, record, answers):
    """Send one request after another on a kept channel; none is sent again."""
    channel = Channel(address=deployment.front_address(deployment.entries[0]))
    for number in itertools.count(1):
        request_id = f"{number:016x}"
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Model": "m",
            "Token-Count": "200,8",
            "Prompt-Prefix": f"5c1e07a2:40,{number:08x}:160",
            "Request-Deadline": "20000",
        }
        reply = await channel.send("POST", "/gen/x", headers, b"draft a note")
        answers[request_id] = reply
        record.add(
            f"client: {request_id} {reply.status}"
            f" {'whole' if reply.is_whole else 'not whole'}"
        )


async def check(deployment, record):
    """Play the case."""
    rng = random.Random(3)
    fleet = Fleet()
    state = desired_state(
        1,
        [route("gen", "streaming", "model", resumable=False)],
        [model_service("model", LAYERS, [KIND])],
    )
    record.add(f"desired state 1: {await deployment.put_config(state)}")
    engines = [
        SpoiltEngine(
            service="model",
            controls=deployment.control_addresses,
            record=record,
            fleet=fleet,
            kind="a",
        )
        for _ in range(ENGINES)
    ]
    for engine in engines:
        engine.is_refusing = lambda request_id, parts: (
            parts[-1][0] if rng.random() < SHORT_OF_MEMORY else ""
        )
        await engine.start()
    await deployment.wait_for_entries()

    async def have_layers():
        return all(engine.layers[1] for engine in engines)

    await wait_until(have_layers)
    # Until their next heartbeats have told the entries.
    await asyncio.sleep(2.0)
    answers = {}
    sending = asyncio.create_task(send_requests(deployment, record, answers))
    for _ in range(TIMES):
        SpoiltEngine.is_spoilt = has_trouble()
        await asyncio.sleep(SPOILT_FOR_S)
        SpoiltEngine.is_spoilt = False
        await asyncio.sleep(PAUSE_S)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    runs = Counter(run for engine in engines for run in engine.runs)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [
        request_id
        for request_id, reply in answers.items()
        if reply.status in (408, 421, 429, 503) and runs[request_id]
    ]
    statuses = Counter(reply.status for reply in answers.values())
    record.add(f"statuses: {dict(statuses)}")
    record.add(f"TWICE: {len(twice)} requests ran more than once: {twice}")
    record.add(f"REFUSED: {len(refused)} refused requests ran: {refused}")
    return BROKEN if twice or refused else HELD


if __name__ == "__main__":
    run_case(check, script=__file__)
