"""All processes are killed after an endpoint's leaving was acknowledged; one
of its earlier heartbeats arrives late."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../common-3"))
from world import BROKEN, HELD, NOT_RUN, Connection, Endpoint, play  # noqa: E402

LATE_S = 3.0
STAYS_S = 9.0


async def day(world, trouble):
    await world.start_store()
    world.configure([("/orders/", "non_idempotent", 5, 2, "intake")],
                    ["intake", "front"])
    machines = [world.add("m-%d" % n, "z%d" % n, service) for n, service in
                enumerate(["intake", "intake", "front", "front"])]
    for m in machines:
        m.start()
        m.endpoint = Endpoint(m, "i-" + m.name, work=lambda *a: 1.0)
        await m.endpoint.start()
    if not await world.wait_ready(machines):
        return NOT_RUN, "the nodes did not become ready"
    await asyncio.sleep(4)
    leaving = machines[0].endpoint

    # A heartbeat is sent; it arrives LATE_S later.
    leaving.beat_task.cancel()
    delayed = leaving.body("ready")
    world.record("heartbeat sent, on its way for %.1f s" % LATE_S)

    async def arrive_late():
        await asyncio.sleep(LATE_S)
        for _ in range(20):
            status = await leaving.say("PUT", delayed)
            world.record("late heartbeat arrives", status)
            if status is not None:
                return
            await asyncio.sleep(0.1)

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
    await asyncio.sleep(0.5)
    if trouble:
        for m in machines:
            m.process.kill()
        for m in machines:
            m.process.wait()
        world.record("SIGKILL of all")
        await asyncio.sleep(1.0)
        for m in machines:
            m.start()
    if not await world.wait_ready(machines):
        return NOT_RUN, "the nodes did not become ready"
    back = world.now()
    await late
    # From here on all machines are in touch.
    await asyncio.sleep(max(0, back + world.bounds["stability_window_s"] + 0.3
                            - world.now()))
    sent_from = world.now()
    sent = {}

    async def one(n):
        c = Connection(machines[2 + n % 2])
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
