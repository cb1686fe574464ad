"""Tasks that need a GPU, after the only runner with one in their zone is lost; another zone has six GPUs that are free."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import small_site
from zoned_site import ZonedSite

FINISH_S, IDLE_S = 14.0, 3.0  # of LOST
PLAIN = {"cpu": 32000, "mem-mb": 125000, "gpus": 0}
ONE_GPU = {"cpu": 32000, "mem-mb": 125000, "gpus": 1}
TWO_GPUS = {"cpu": 16000, "mem-mb": 64000, "gpus": 2}
ZONES = [("nbo-westlands", 1, [("b", ONE_GPU), ("a", PLAIN), ("a", PLAIN)]),
         ("nbo-upperhill", 1, [("a", PLAIN)] * 3),
         ("nbo-embakasi", 1, [("c", TWO_GPUS)] * 3)]
JOB = {"spec": "run 1000", "steps": [{"count": 1, "cpu": 2000, "mem-mb": 4000, "gpus": 1, "estimated-ms": 1000}]}


async def case(make, trouble):
    site = make(of=ZonedSite, zones=ZONES)
    await site.begin()
    site.record.say("nine runners: one GPU in nbo-westlands, six in nbo-embakasi")
    async def accepted():  # the entries have just started: 503 until the room of the cells is known
        return await site.submit("%016x" % 0xa1, JOB) == 200
    await site.wait_for(accepted, 10, "acceptance of the first job")
    await site.wait_for(lambda: any(end[3].startswith("%016x" % 0xa1) and end[5] == "done" for end in site.ends), 15,
                        "end of the first job")
    if trouble:
        site.runners[0].lose()
        await asyncio.sleep(6)
    jobs = []
    for i in range(4):
        job = "%016x" % (0xb0 + i)
        if await site.submit(job, JOB) == 200:
            jobs.append(job)
        await asyncio.sleep(0.5)
    site.record.say("%d jobs accepted, the last request but for states" % len(jobs))
    if not jobs:
        raise small_site.Unrunnable("no job was accepted")
    await asyncio.sleep(FINISH_S)
    since = {job: None for job in jobs}
    faults, until = {}, time.monotonic() + 30
    while time.monotonic() < until:
        for job in jobs:
            done = any(end[3].startswith(job) and end[5] == "done" for end in site.ends)
            idle = not done and not any(task.startswith(job) and n for task, n in site.running_now.items())
            since[job] = (since[job] or time.monotonic()) if idle else None
            if idle and time.monotonic() - since[job] > IDLE_S:
                faults[job] = "%s: accepted, nothing of it runs for %.1f s, six GPUs are free and no other work runs" \
                    % (job, time.monotonic() - since[job])
        await asyncio.sleep(0.1)
    for job in jobs:
        _, text = await site.request(site.entries[0], "GET", job)
        site.record.say("%s: %d starts, state %s" % (job, sum(s[2].startswith(job) for s in site.starts), text))
    return list(faults.values())


small_site.main(os.path.dirname(os.path.abspath(__file__)), case)
