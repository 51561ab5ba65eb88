"""LOST: links in use are closed for the life before a restart."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-2"))
from world import call, configuration, now, play  # noqa: E402

STABILITY_WINDOW_S = 3.0
OWNERS = 24
WORK_S = 0.4
# Two SIGTERMs, each right after the restarted machines are in touch.
ROUNDS = 2


def with_tenants(version):
    routes = [("restock-order", "/order/", "non_idempotent", "siparis", 5.0),
              ("order-history", "/history/", "idempotent", "siparis", 5.0)]
    it = configuration(version, routes)
    it["tenants"] = {
        "columns": ["name", "api_keys", "rate_per_s", "burst"],
        "rows": [[f"t{n}", [f"key-{n}"], 100, 100] for n in range(OWNERS)]}
    return it


async def ask(world, machine, until, given_up):
    """One client after another; notes what was broken off at its endpoint."""
    n = machine.number
    while now() < until:
        n += 7
        request = world.request_id()
        sent = now()
        method, path = [("POST", "/order/7"), ("GET", "/history/7")][n % 2]
        status, told, _ = await call(
            machine.outbound, method, path,
            [("Request-Id", request), ("Request-Deadline", "4000"),
             ("Api-Key", f"key-{n % OWNERS}")], b"", 4.5)
        answered = now()
        runs = world.runs_of(request)
        world.record.say("answered", id=request, by=machine.name,
                         status=status, runs=len(runs),
                         after_s=round(answered - sent, 3))
        at_work = any(it["end"] is None or it["end"] > answered
                      for it in runs)
        if (status != 200 and at_work and sent > world.in_touch_from and
                sent > machine.stopped_at - 1.0 and
                answered > machine.stopped_at):
            given_up.append((machine.name, method, status))
            world.record.say("given_up", id=request, by=machine.name,
                             method=method, status=status)


async def case(world):
    await world.store.start(world.machines)
    world.store.put("config", "main", with_tenants(12))
    for it in world.machines:
        it.start()
        it.stopped_at = float("inf")
    world.in_touch_from = now()
    await world.wait_ready()
    for it in world.machines:
        await world.start_machine(it, work_s=WORK_S, slots=60)
    await asyncio.sleep(8.0)
    half = len(world.machines) // 2
    killed, others = world.machines[:half], world.machines[half:]
    given_up = []
    for n in range(ROUNDS):
        if world.is_troubled:
            for it in killed:
                it.kill()
            await asyncio.sleep(0.2)
            for it in killed:
                it.start()
        world.in_touch_from = now() + STABILITY_WINDOW_S
        stopped = others[n]
        clients = [asyncio.create_task(ask(world, stopped, now() + 6.0,
                                           given_up)) for _ in range(24)]
        await asyncio.sleep(STABILITY_WINDOW_S + 0.1)
        stopped.signal(signal.SIGTERM)
        stopped.stopped_at = now()
        await asyncio.gather(*clients)
        while stopped.process.poll() is None:
            await asyncio.sleep(0.1)
        stopped.stopped_at = float("inf")
        stopped.start()
        await world.wait_ready()
        await asyncio.sleep(8.0)
    if given_up:
        return (f"LOST: after a SIGTERM {len(given_up)} requests were given "
                f"up at which endpoints were at work: {given_up[:4]}")
    return None


play(os.path.dirname(os.path.abspath(__file__)), case,
     ["siparis"] * 4 + ["aidat"] * 4)
