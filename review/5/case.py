"""A gang is cancelled while its worker is unhealthy, and the leader is stopped and started again meanwhile. See claim.txt."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab import BOUNDS, route, run_case  # noqa: E402

CAPACITY = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
# The gang needs the label of one worker of twelve.
WORKERS = [("z%d" % (i % 3), ["b" if i == 0 else "a", "rack-%d" % (i % 3)], CAPACITY) for i in range(12)]
UNHEALTHY_S = 5.0
JOB = "00000000000000f8"


async def body(lab):
    await lab.start([route("sweep", "/sweep/")])
    gang = {"spec": '{"ms": 60000}', "phases": [{"count": 4, "cpu": 1000, "mem-mb": 256, "estimate-ms": 60000, "gang": True, "required-label": "b"}]}
    await lab.submit("/sweep/" + JOB, gang)
    worker = lab.workers[0]
    await lab.until(lambda: len(worker.runs) == 4, 10, "the gang to start")
    await asyncio.sleep(2)
    if lab.trouble:
        lab.note(worker.id, "turns unhealthy: answers 503 to stops, its reports and lists stay good")
        worker.refuses_stops = True
    began = lab.now()
    status, _ = await lab.call(lab.client_ports[(lab.leader() + 1) % lab.node_count], "DELETE", "/sweep/" + JOB)
    lab.note("client", "DELETE /sweep/%s: %s" % (JOB, status))
    await asyncio.sleep(1)
    leader = lab.leader()
    if lab.trouble:
        lab.kill_node(leader, signal.SIGTERM)
    await asyncio.sleep(max(0.0, UNHEALTHY_S - (lab.now() - began)))
    if lab.trouble:
        worker.refuses_stops = False
        lab.note(worker.id, "is healthy again")
        await lab.until(lambda: lab.processes[leader].returncode is not None, BOUNDS["grace-s"], "the leader to end")
        await lab.start_node(leader)
    # From here on nothing is disturbed. A task of a cancelled job has to be gone after stability-window-ms and cancel_ms + stop-ms.
    await asyncio.sleep((BOUNDS["stability-window-ms"] + BOUNDS["cancel_ms"] + BOUNDS["stop-ms"]) / 1000 + 3)
    state = await lab.state("/sweep/" + JOB)
    lab.note("check", "%d tasks of the %s job are at work" % (len(worker.runs), state))
    return not worker.runs


run_case(os.path.dirname(os.path.abspath(__file__)), 3, WORKERS, body)
