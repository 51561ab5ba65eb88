"""CONFIG after the loss of the machines that watch the configuration."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-2"))
from world import configuration, now, play  # noqa: E402

CONFIG_APPLY_S = 2.0
# "With serializable = 1 ... may return data that is seconds old."
STORE_LAG_S = 4.0


def routes(service):
    return [("history", "/history/", "idempotent", service, 5.0)]


async def case(world):
    await world.start(routes("gecmis"))
    # The first watches have been renewed by now.
    await asyncio.sleep(4.0)
    watchers = sorted(world.store.fresh_watchers)
    world.record.say("watch_fresh", machines=watchers)
    lost = []
    if world.is_troubled:
        # The machines lose power for good: node and endpoint end at once.
        lost = watchers
        for n in lost:
            world.machines[n].kill()
            await world.endpoints[n].end()
    calm = [it for it in world.machines if it.number not in lost]
    await asyncio.sleep(0.5)
    world.store.put("config", "main", configuration(15, routes("aidat")))
    acknowledged = now()
    world.record.say("configuration", version=15, moves="/history/",
                     to="aidat")
    stale = []
    served = 0
    while now() < acknowledged + 8.0:
        for machine in calm:
            got = await world.send(machine, "/history/7", "GET")
            if got["sent"] < acknowledged + CONFIG_APPLY_S:
                continue
            for run in world.runs_of(got["id"]):
                served += 1
                if run["service"] != "aidat":
                    stale.append(round(got["sent"] - acknowledged, 2))
        await asyncio.sleep(0.2)
    world.record.say("after_config_apply_s", runs=served, by_old=len(stale))
    if stale:
        return (f"CONFIG: {len(stale)} of {served} requests that were sent "
                f"later than {CONFIG_APPLY_S} s after the acknowledgement, to "
                f"machines in touch, were run by the old service; the last "
                f"{max(stale)} s after it")
    return None


# 12 machines in 3 zones, as the sheet of limon-agi says; two services.
play(os.path.dirname(os.path.abspath(__file__)), case,
     ["gecmis", "gecmis", "gecmis", "aidat", "aidat", "aidat"] * 2,
     store_lag_s=STORE_LAG_S)
