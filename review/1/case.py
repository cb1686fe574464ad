"""The owner of a cell is killed while many tasks of one step run; they all end before another entry owns the cell."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from small_site import main  # noqa: E402

TASKS, TASK_MS, TASK_MS_MOST = 1400, 5000, 7500
JOB = "5c0e7a21d94b36f8"


async def case(make_site, trouble):
    site = make_site(entries=3, runners=2)
    await site.begin()
    await asyncio.sleep(2)
    body = {"spec": "run %d %d" % (TASK_MS, TASK_MS_MOST),
            "steps": [{"count": TASKS, "cpu": 20, "mem-mb": 40, "estimated-ms": TASK_MS}]}
    status = await site.submit(JOB, body)
    site.record.say("job of %d tasks handed in: %s" % (TASKS, status))
    await site.wait_for(lambda: len(site.starts) >= TASKS, 15, "start of all tasks")
    first = site.starts[0][0]
    site.record.say("all tasks run, started within %.2f s" % (site.starts[-1][0] - first))
    await asyncio.sleep(max(0, first + TASK_MS / 1000 - 0.3 - time.monotonic()))
    if os.environ.get("TROUBLE") == "store":
        site.store.be_silent(4.5)
    elif trouble:
        owner = await site.owner()
        owner.send(signal.SIGKILL)
        asyncio.get_running_loop().call_later(3.5, owner.start)
    await site.wait_for(lambda: len(site.ends) >= TASKS, 20, "end of all tasks")
    site.record.say("all tasks have ended, %s" % ", ".join(
        "%s holds %d ends" % (r.id, len(r.finished)) for r in site.runners))

    async def done():
        alive = [e for e in site.entries if e.alive()][-1]
        return (await site.request(alive, "GET", JOB))[1] == '{"state":"done"}'
    shown = await site.wait_for(done, 25, "done", fatal=False)
    await asyncio.sleep(3)
    site.record.say("job shown as done: %s; %d starts of %d tasks; ends: %s" % (
        bool(shown), len(site.starts), TASKS,
        {how: sum(1 for e in site.ends if e[5] == how) for how in {e[5] for e in site.ends}}))
    return site.runs_twice()


main(HERE, case)
