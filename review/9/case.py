"""DRAIN: a departure that was acknowledged is forgotten with the process."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-2"))
from world import CannotRun, now, play  # noqa: E402

DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0


async def case(world):
    await world.start([("restock-order", "/order/", "non_idempotent",
                        "siparis", 5.0)])
    endpoint = world.endpoints[0]
    machine = world.machines[0]
    # Two heartbeats, 1.5 s apart as always, that will arrive late.
    endpoint.stop_beats()
    late = [endpoint.beat_body()]
    await asyncio.sleep(1.5)
    late.append(endpoint.beat_body())
    await asyncio.sleep(0.3)
    # One of the endpoints that never report draining: DELETE first, then it
    # serves on for drain_s and "a little longer (at times many seconds)".
    if await endpoint.leave() != 200:
        raise CannotRun("the departure wasn't acknowledged")
    acknowledged = now()
    await asyncio.sleep(0.2)
    if world.is_troubled:
        machine.kill()
        await asyncio.sleep(0.5)
        machine.start()
    started = now()
    for body in late:
        await asyncio.sleep(1.5)
        answer = await endpoint.put(body)
        world.record.say("late_beat", of=endpoint.name, answer=answer,
                         after_leave_s=round(now() - acknowledged, 2))
    # From here on all machines are in touch.
    await asyncio.sleep(max(0.0, started + STABILITY_WINDOW_S + 0.3 - now()))
    late_runs = []
    for n in range(40):
        got = await world.send(world.machines[n % 4], "/order/7")
        for run in world.runs_of(got["id"]):
            if (run["at"] == endpoint.name and
                    run["time"] > acknowledged + DRAIN_S):
                late_runs.append(round(run["time"] - acknowledged, 2))
        await asyncio.sleep(0.05)
    if late_runs:
        return (f"DRAIN: {len(late_runs)} of 40 requests reached "
                f"{endpoint.name} later than {DRAIN_S} s after its departure "
                f"was acknowledged, {late_runs[0]} s to {late_runs[-1]} s "
                f"after it")
    return None


play(os.path.dirname(os.path.abspath(__file__)), case,
     ["siparis", "siparis", "siparis", "aidat"])
