"""RECOVER after the machines that are listed in the store were replaced."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-2"))
from world import call, now, play  # noqa: E402

RECOVERY_S = 15.0
SERVICES = ["gecmis", "aidat", "siparis", "katalog"]
# As the sheet of limon-agi has them: what runs make a call, and to where.
CALLS = {"/gecmis/": "/inner-aidat/", "/aidat/": "/inner-siparis/"}


def routes():
    found = []
    for service in SERVICES:
        found.append((service, f"/{service}/", "idempotent", service, 5.0))
        found.append((f"inner-{service}", f"/inner-{service}/", "idempotent",
                      service, 2.5))
    return found


async def run(endpoint, it, writer):
    """Runs a request, with its call, as an endpoint of the sheet does."""
    await asyncio.sleep(endpoint.work_s)
    path = CALLS.get("/" + it["target"].split("/")[1] + "/")
    status = 200
    if path is not None:
        inner = endpoint.world.request_id()
        status, _, _ = await call(
            endpoint.machine.outbound, "GET", path + "1",
            [("Request-Id", inner), ("Request-Deadline", "2000")], b"", 2.5)
        status = 200 if status == 200 else 500
    await endpoint.answer(it, writer, status)
    return True


async def ask(world, machines, seconds):
    """Clients on all machines ask for all services; (served, all)."""
    until = now() + seconds
    served = count = 0
    while now() < until:
        paths = [f"/{SERVICES[n % 4]}/{n}" for n in range(4)]
        got = await asyncio.gather(*[
            world.send(machine, path, "GET", deadline_ms=2500)
            for machine in machines for path in paths])
        served += sum(it["status"] == 200 for it in got)
        count += len(got)
        await asyncio.sleep(0.2)
    return served, count


async def case(world):
    first, second = world.machines[:8], world.machines[8:]
    await world.start(routes(), only=8, hook=run)
    world.record.say("listed", entries=sorted(
        world.store.objects.get("redwingwind-nodes", {})))
    if world.is_troubled:
        # Each is replaced while the others run: the new one starts first,
        # then the old endpoint drains and the old machine goes for good.
        for old, new in zip(first, second):
            await world.start_machine(new, hook=run)
            await world.wait_ready([new])
            await asyncio.sleep(1.5)
            endpoint = world.endpoint_of(old)
            endpoint.stop_beats()
            endpoint.state = "draining"
            await endpoint.beat()
            await asyncio.sleep(2.5)
            await endpoint.leave()
            await endpoint.end()
            old.signal(signal.SIGTERM)
        for old in first:
            while old.process.poll() is None:
                await asyncio.sleep(0.1)
        machines = second
    else:
        machines = first
    world.record.say("listed", entries=sorted(
        world.store.objects.get("redwingwind-nodes", {})))
    before = await ask(world, machines, 3.0)
    world.record.say("before", served=before[0], of=before[1])
    # The final fault: all processes are killed and start again.
    for it in machines:
        it.kill()
    await asyncio.sleep(1.0)
    for it in machines:
        it.start()
    await asyncio.sleep(RECOVERY_S + 1.0)
    after = await ask(world, machines, 8.0)
    world.record.say("after", served=after[0], of=after[1])
    if before[0] * 4 >= before[1] and after[0] * 4 < after[1]:
        return (f"RECOVER: later than {RECOVERY_S} s after the machines were "
                f"back, {after[0]} of {after[1]} requests were served; before "
                f"the fault {before[0]} of {before[1]}")
    return None


play(os.path.dirname(os.path.abspath(__file__)), case, SERVICES * 4)
