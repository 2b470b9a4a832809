"""A gang whose advisor has named enough workers never asks about workers that are added later."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab2  # noqa: E402

FINISH_S = 14


async def play(lab):
    gangs = lab.route("sweeps", "/sweeps/", priority=2, advisor=lab.advisor.policy())
    watch = lab.route("watch", "/watch/", priority=1)
    for i in range(16):
        await lab.add_worker(f"i-{i:02}", labels=("a", f"r-{i // 8}"))
    await lab.configure([gangs, watch])
    await lab.start_nodes()
    node = lab.nodes[0]
    # One lasting task on each worker: 17 of 32 cores.
    await lab.submit(node, watch, [{"count": 16, "cpu": 17000, "mem-mb": 19000, "estimate-ms": 400, "long-running": True, "anti-affinity": 1}])
    await asyncio.sleep(3)
    # A gang of two tasks of 16 cores, for which no worker has room now.
    job = await lab.submit(node, gangs, [{"count": 2, "cpu": 16000, "mem-mb": 20000, "estimate-ms": 3000, "gang": True, "work_s": 3.0}])
    await asyncio.sleep(4)
    if lab2.TROUBLE:
        for i in range(4):
            await lab.add_worker(f"i-{16 + i:02}", labels=("a", "r-2"))
            await asyncio.sleep(0.5)
    # The traffic has ended.
    await asyncio.sleep(FINISH_S)
    state = await lab.state(node, job)
    is_lost = await lab.lost_for(lambda: bool(lab.running(job)), job, 0, 2, 4)
    if is_lost and state in ("queued", "running"):
        lab.break_rule(f"LOST: job {job} is {state}, has nothing running, and there is room for it twice over")


lab2.main(pathlib.Path(__file__).resolve().parent, play, nodes=3)
