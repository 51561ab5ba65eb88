"""All machines of a deployment are replaced one after the other; later one node
is stopped and started again while the endpoint beside it leaves."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../common-3"))
from world import BROKEN, HELD, NOT_RUN, Connection, Endpoint, play  # noqa: E402

MACHINES = 6
LATE_S = 5.0
STAYS_S = 11.0


async def day(world, trouble):
    await world.start_store()
    world.configure([("/orders/", "non_idempotent", 5, 2, "shop")], ["shop"])

    async def start(names):
        added = [world.add(n, "z%d" % (k % 3), "shop")
                 for k, n in enumerate(names)]
        for m in added:
            m.start()
            m.endpoint = Endpoint(m, "i-" + m.name, work=lambda *a: 0.5)
            await m.endpoint.start()
        return added

    async def replace(old, name):
        """The new one starts first, the old one drains; its node is stopped
        after its endpoint has ended."""
        new = (await start([name]))[0]
        await asyncio.sleep(1.5)
        old.endpoint.beat_task.cancel()
        while await old.endpoint.beat("draining") != 200:
            await asyncio.sleep(0.2)
        await asyncio.sleep(world.bounds["drain_s"] + 0.5)
        await old.endpoint.say("DELETE")
        await old.endpoint.stop()
        old.terminate()
        return new

    first = await start(["first-%d" % n for n in range(MACHINES)])
    if not await world.wait_ready(first):
        return NOT_RUN, "the nodes did not become ready"
    await asyncio.sleep(4)
    fleet = first
    if trouble:
        async def later(n):
            await asyncio.sleep(n)
            return await replace(first[n], "second-%d" % n)
        fleet = await asyncio.gather(*[later(n) for n in range(MACHINES)])
        await asyncio.sleep(world.bounds["grace_s"] + 1)
        if any(m.process.poll() is None for m in first):
            return NOT_RUN, "a stopped node is still there"
        world.record("all are replaced")
    await asyncio.sleep(4)
    m = fleet[0]
    leaving = m.endpoint

    # A heartbeat is sent; it arrives LATE_S later.
    leaving.beat_task.cancel()
    delayed = leaving.body("ready")
    world.record("heartbeat sent, on its way for %.1f s" % LATE_S)

    async def arrive_late():
        await asyncio.sleep(LATE_S)
        world.record("late heartbeat arrives", await leaving.say("PUT", delayed))

    late = asyncio.ensure_future(arrive_late())
    await asyncio.sleep(0.2)
    for _ in range(5):
        if await leaving.say("DELETE") == 200:
            break
        await asyncio.sleep(0.2)
    else:
        return NOT_RUN, "the leaving was not acknowledged"
    acknowledged = world.now()
    world.record("DELETE", leaving.ident, "acknowledged")
    await asyncio.sleep(0.3)
    # The node is stopped and started again on its own.
    m.terminate()
    while m.process.poll() is None:
        await asyncio.sleep(0.02)
    m.start()
    started = world.now()
    await late
    await asyncio.sleep(max(0, started + world.bounds["stability_window_s"]
                            + 0.3 - world.now()))
    if not await world.is_ready(m):
        return NOT_RUN, "the node is not ready"
    sent_from = world.now()
    sent = {}

    async def one(n):
        c = Connection(m)
        ident = "order-%d" % n
        sent[ident] = await c.request("POST", "/orders/x", ident, 5, b"o")
        c.close()

    tasks = []
    n = 0
    while world.now() < acknowledged + STAYS_S:
        tasks.append(asyncio.ensure_future(one(n)))
        n += 1
        await asyncio.sleep(0.1)
    # The endpoint has served drain_s and a little longer, and exits.
    world.record("the leaving endpoint exits")
    await leaving.stop()
    await asyncio.gather(*tasks)
    reached = [(at, ident) for at, ident, _, _ in leaving.runs
               if at > acknowledged + world.bounds["drain_s"] and ident in sent]
    cut = [ident for _, ident in reached if sent[ident] != 200]
    told = "of %d orders sent from %.1f s after the acknowledgement on, %d reached the endpoint that had left (the last %.1f s after it); %d of these were at work when it ended and failed" % (
        len(sent), sent_from - acknowledged, len(reached),
        max([at for at, _ in reached], default=acknowledged) - acknowledged,
        len(cut))
    return (BROKEN if reached else HELD), told


play(HERE, day)
