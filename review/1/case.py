"""A region is cut off from the others and from the store; the leader and some workers are in it. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab import route, run_case  # noqa: E402

CUT_S = 10.0
CAPACITY = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
WORKERS = [("z%d" % (i // 2), ["a", "rack-%d" % (i // 2)], CAPACITY) for i in range(6)]


def region_of(lab, node):
    return [it for it in lab.workers if it.zone == "z%d" % node]


def set_cut(lab, node, is_cut):
    """Cuts one region off, or heals the cut: paths between its process and workers on one side and all others on the other side."""
    inside = {it.id for it in region_of(lab, node)}
    paths = [lab.store_paths[node]]
    paths += [path for pair, path in lab.link_paths.items() if node in pair]
    paths += [path for (other, worker), path in lab.worker_paths.items() if (other == node) != (worker in inside)]
    paths += [it.store_path for it in region_of(lab, node)]
    for it in paths:
        if is_cut:
            it.cut()
        else:
            it.heal()
    lab.note("lab", "%s region r%d: %s and workers %s" % ("cuts off" if is_cut else "heals", node, lab.node_names[node], ", ".join(sorted(inside))))


async def body(lab):
    await lab.start([route("watch", "/watch/"), route("sweep", "/sweep/")])
    # The filler takes half of each worker, the other two jobs take the rest, and then the filler is cancelled. So tasks are at work in all regions, and there is
    # room for each of them elsewhere.
    filler = {"spec": '{"ms": 60000}', "phases": [{"count": 12, "cpu": 4000, "mem-mb": 512, "estimate-ms": 60000, "anti-affinity": 2}]}
    watch = {"spec": '{"ms": 0}', "phases": [{"count": 6, "cpu": 4000, "mem-mb": 512, "estimate-ms": 300, "long-running": True}]}
    sweep = {"spec": '{"ms": 60000}', "phases": [{"count": 6, "cpu": 4000, "mem-mb": 512, "estimate-ms": 60000}]}
    await lab.submit("/sweep/00000000000000c3", filler)
    await lab.until(lambda: sum(len(it.runs) for it in lab.workers) == 12, 15, "the filler to start")
    await lab.submit("/watch/00000000000000a1", watch)
    await lab.submit("/sweep/00000000000000b2", sweep)
    await lab.until(lambda: sum(len(it.runs) for it in lab.workers) == 24, 15, "all runs to start")
    await lab.call(lab.client_ports[0], "DELETE", "/sweep/00000000000000c3")
    await lab.until(lambda: sum(len(it.runs) for it in lab.workers) == 12, 15, "the filler to end")
    await asyncio.sleep(5)
    leader = lab.leader()
    if lab.trouble:
        set_cut(lab, leader, True)
    await asyncio.sleep(CUT_S)
    if lab.trouble:
        set_cut(lab, leader, False)
    await asyncio.sleep(6)
    lab.note("check", "%d times a task started while an earlier run of it was still at work" % len(lab.overlaps))
    return not lab.overlaps


run_case(os.path.dirname(os.path.abspath(__file__)), 3, WORKERS, body)
