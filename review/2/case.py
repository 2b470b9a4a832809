"""The leader is killed while the first occurrence of a job still waits for its worker and the second one has begun. See claim.txt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab import BOUNDS, route, run_case  # noqa: E402

CAPACITY = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
WORKERS = [("z0", ["a", "rack-0"], CAPACITY), ("z1", ["b", "rack-1"], CAPACITY), ("z2", ["a", "rack-2"], CAPACITY)]
FILLER_MS = 16000
INTERVAL_MS = 1500
JOB = "00000000000000d4"


async def body(lab):
    first, second = "i-5d6e541a11", "i-5d6e540000"
    # The advisor allows one worker to each occurrence of the job, and that never changes.
    lab.advice = lambda step, worker: worker == {JOB + ".0.0": first, JOB + ".1.0": second}.get(step)
    advisor = {"decision-ms": 30.0, "per-worker-ms": 0.5, "validity-ms": 2500}
    await lab.start([route("fill", "/fill/"), route("timed", "/timed/", advisor=advisor)])
    filler = {"spec": '{"ms": %d}' % FILLER_MS, "phases": [{"count": 1, "cpu": 16000, "mem-mb": 512, "estimate-ms": FILLER_MS, "required-label": "b"}]}
    await lab.submit("/fill/00000000000000e5", filler)
    await lab.until(lambda: any(it[1] == first for it in lab.starts), 10, "the filler to start")
    timed = {"spec": '{"ms": 1000}', "phases": [{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 1000}], "repeat-count": 2,
             "start-at-ms": int(time.time() * 1000) + 1000, "interval-ms": INTERVAL_MS}
    await lab.submit("/timed/" + JOB, timed)
    await lab.until(lambda: any(it[2] == JOB + ".1.0.0" for it in lab.starts), 10, "the second occurrence to start")
    await asyncio.sleep(2)
    if lab.trouble:
        leader = lab.leader()
        lab.kill_node(leader)
        await asyncio.sleep(3.5)
        await lab.start_node(leader)
    await lab.until(lambda: not any(it.runs for it in lab.workers), 40, "the filler to end")
    lab.note("lab", "the fleet is idle; the worker of the first occurrence is free")
    # The pages ask for jobs finish_s after the end of the traffic. The job needs one second more.
    await asyncio.sleep(BOUNDS["finish_s"] + 4)
    state = await lab.state("/timed/" + JOB)
    has_run = any(it[2] == JOB + ".0.0.0" for it in lab.starts)
    lab.note("check", "the accepted job is %s; its first occurrence %s" % (state, "has run" if has_run else "never ran, with all workers free"))
    return has_run and state == "completed"


run_case(os.path.dirname(os.path.abspath(__file__)), 3, WORKERS, body)
