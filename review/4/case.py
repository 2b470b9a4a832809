"""The store goes down: an append that it has carried out gets a reset instead of an answer, and further calls get 503. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab import Reset, route, run_case  # noqa: E402

CAPACITY = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
WORKERS = [("z%d" % i, ["a", "rack-%d" % i], CAPACITY) for i in range(3)]
DOWN_S = 4.5
CLIENT_TRIES = 5
JOB = "00000000000000f6"
SPEC = {"spec": '{"ms": 1000}', "phases": [{"count": 2, "cpu": 1000, "mem-mb": 256, "estimate-ms": 1000}]}


async def body(lab):
    await lab.start([route("check", "/check/")])
    for i in range(5):
        await lab.submit("/check/%016x" % (0xa00 + i), SPEC)
        await asyncio.sleep(0.3)
    down = {"is": False}

    def refuse(node, operation, topic, content):
        return (503, {}) if down["is"] else None

    def end_connection(node, topic, content):
        if topic.startswith("keyed.jobs") and JOB.encode() in content:
            lab.note("store", "carries out an append of %s with job %s, goes down and resets the connection" % (lab.node_names[node], JOB))
            down["is"] = True
            lab.store.on_appended = None
            raise Reset

    if lab.trouble:
        lab.store.on_call = refuse
        lab.store.on_appended = end_connection
    answers = []
    # The balancer sends this client to the leader; its retries reach the other processes.
    nodes = sorted(range(lab.node_count), key=lambda it: it != lab.leader())

    async def client():
        answers.extend(await lab.submit("/check/" + JOB, SPEC, nodes=nodes, tries=CLIENT_TRIES))

    submitting = asyncio.create_task(client())
    if lab.trouble:
        await lab.until(lambda: down["is"], 5, "the append")
        await asyncio.sleep(DOWN_S)
        lab.note("store", "is up again")
        down["is"] = False
    await submitting
    await asyncio.sleep(12)
    starts = sum(it[2].startswith(JOB) for it in lab.starts)
    is_refused = all(it in (429, 503) for it in answers)
    lab.note("check", "the client's attempts got %s; %d tasks of the job started" % (answers, starts))
    return not (is_refused and starts > 0)


run_case(os.path.dirname(os.path.abspath(__file__)), 3, WORKERS, body)
