"""An application engine runs a request and then answers it with a 503 of its own, without X-Not-Executed."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from standin import Client, configuration, main, now, route, service, whole  # noqa: E402

SERVICE = "wuno96b"
ENGINES = 14
# Two of fourteen engines (0.14) fail 0.4 of their requests for 6 s: the doses of `srv_grey` are share 0.15, x 0.45 and
# 6.5 s. Three pairs do so in turn.
PAIRS = [(1, 2), (3, 4), (5, 6)]
FAILING_SHARE = 0.4
FAILS_FOR = 6.0
PROMISES = (408, 421, 429, 503)
CLIENTS = 12
SECONDS = 24.0


async def play(system, trouble):
    draw = random.Random(1)
    runs_of_order = {}
    failing = set()

    async def engine_behaves(engine, headers, writer):
        engine.run(headers)
        order = headers[":body"].decode()
        runs_of_order[order] = runs_of_order.get(order, 0) + 1
        await asyncio.sleep(0.03)
        if engine.number in failing and draw.random() < FAILING_SHARE:
            writer.write(whole(engine, headers, "booked, but the ledger is busy", 503))
        else:
            writer.write(whole(engine, headers, "booked"))

    for _ in range(ENGINES):
        system.engine(SERVICE, "v1", engine_behaves, slots=6)
    routes = [route("r-topup", "/puxa403/", "unsafe", SERVICE)]
    await system.start(configuration(7, routes, [service(SERVICE)]))
    promised = []

    async def till(number):
        """A client that sends its orders one after the other, and sends one again after a promise, as the pages say."""
        client = Client(system.record, system.entries[number % 3].frontend)
        n = 0
        while now() < end:
            n += 1
            order = f"order {number}-{n}"
            for attempt in range(2):
                answer = await client.send("POST", "/puxa403/2f", 4000, body=order.encode())
                if answer.status in PROMISES:
                    promised.append((answer.id, answer.status))
                if answer.status not in PROMISES:
                    break
                client.close()
            await asyncio.sleep(draw.uniform(0.01, 0.05))

    async def disrupt():
        for pair in PAIRS:
            await asyncio.sleep(1)
            if trouble:
                failing.update(pair)
            await asyncio.sleep(FAILS_FOR)
            failing.clear()

    end = now() + SECONDS
    await asyncio.gather(disrupt(), *[till(number) for number in range(CLIENTS)])
    # "has run, or runs later": what an engine still holds ends within a second.
    await asyncio.sleep(1)
    run_ids = {run[1] for engine in system.engines for run in engine.runs}
    refused_though_run = [request for request, _ in promised if request in run_ids]
    for request, status in promised:
        if request in run_ids:
            system.record.add(f"request {request} was answered {status} and has run")
    doubled = [order for order, runs in runs_of_order.items() if runs > 1]
    system.record.add(f"{len(refused_though_run)} of {len(runs_of_order)} once-only requests were refused though they had run")
    system.record.add(f"{len(doubled)} orders ran twice, since their client believed the promise: {doubled[:5]}")
    return refused_though_run and f"REFUSED: {len(refused_though_run)} requests, {len(doubled)} orders ran twice"


main(HERE, play)
