"""A large job arrives: its progress does not fit into one record of the store. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab import BOUNDS, route, run_case  # noqa: E402

CAPACITY = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
WORKERS = [("z%d" % (i % 3), ["a", "rack-%d" % (i // 8)], CAPACITY) for i in range(48)]
# All tasks of the large job fit into the fleet at the same time.
LARGE = {"spec": '{"ms": 3000}', "phases": [{"count": 8000, "cpu": 90, "mem-mb": 64, "estimate-ms": 3000}]}
SMALL = {"spec": '{"ms": 1000}', "phases": [{"count": 4, "cpu": 1000, "mem-mb": 256, "estimate-ms": 1000}]}
TRAFFIC_S = 10


async def body(lab):
    await lab.start([route("check", "/check/"), route("sweep", "/sweep/", priority=2)])
    await lab.submit("/check/0000000000000a01", SMALL)
    await lab.until(lambda: lab.starts, 10, "the first start")
    await asyncio.sleep(2)
    if lab.trouble:
        await lab.submit("/sweep/00000000000000b7", LARGE)
    jobs = ["%016x" % (0xc00 + i) for i in range(TRAFFIC_S)]
    for it in jobs:
        await asyncio.sleep(1)
        await lab.submit("/check/" + it, SMALL)
    lab.note("lab", "the traffic has ended")
    await asyncio.sleep(BOUNDS["finish_s"] + 4)
    idle_since = lab.now()
    idle = True
    while idle and lab.now() - idle_since < 3:
        idle = not any(it.runs for it in lab.workers)
        await asyncio.sleep(0.05)
    states = [await lab.state("/check/" + it) for it in jobs]
    begun = [it for it in jobs if any(start[2].startswith(it) for start in lab.starts)]
    lab.note("check", "of %d accepted small jobs %d have begun and %d are completed; the fleet of %d cores %s for 3 s" %
             (len(jobs), len(begun), states.count("completed"), 16 * len(WORKERS), "was idle" if idle else "was not idle"))
    return len(begun) == len(jobs)


run_case(os.path.dirname(os.path.abspath(__file__)), 3, WORKERS, body)
