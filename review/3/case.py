"""A recurring job with many occurrences comes."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from small_site import MEMORY_MB, main  # noqa: E402

MINUTE_MS = 60000
YEAR = 365 * 24 * 60  # in minutes
RECURRING = "7e2a9c43fb6d0000"
OTHERS = ["%016x" % (0x6d1f8b32ea5c0000 + i) for i in range(2)]


async def watch_memory(site):
    """DEPLOY.md: a process that exceeds memory-mb is killed; one that was killed is restarted after a short delay."""
    peak = {}
    while True:
        for entry in site.entries:
            if not entry.alive():
                continue
            used = entry.memory_mb()
            if used > peak.get(entry.name, 0) + 50:
                peak[entry.name] = used
                site.record.note("%s uses %d MB" % (entry.name, used))
            if used > MEMORY_MB:
                entry.over_memory += 1
                site.record.say("%s uses %d MB of %d MB" % (entry.name, used, MEMORY_MB))
                entry.send(signal.SIGKILL)
                entry.process.wait()
                peak.pop(entry.name, None)
                asyncio.get_running_loop().call_later(0.5, entry.start)
        await asyncio.sleep(0.05)


async def case(make_site, trouble):
    site = make_site(entries=3, runners=2)
    await site.begin()
    site.tasks.append(asyncio.get_running_loop().create_task(watch_memory(site)))
    await asyncio.sleep(2)
    step = {"cpu": 500, "mem-mb": 256, "estimated-ms": 500}
    for job in OTHERS:
        await site.submit(job, {"spec": "last", "steps": [dict(step, count=6, **{"long-running": True})]})
    await asyncio.sleep(3)
    status = await site.submit(RECURRING, {
        "spec": "run 500", "steps": [dict(step, count=2)], "interval-ms": MINUTE_MS,
        "repeat-count": YEAR if trouble else 60, "start-at-ms": int((time.time() + 20) * 1000)})
    site.record.say("recurring job handed in: %s" % status)
    # From 20 s on an occurrence of two tasks is due each minute.
    await asyncio.sleep(35)
    started = sorted({s[2] for s in site.starts if s[2].startswith(RECURRING)})
    site.record.say("occurrence 0 is due for 15 s; tasks of the recurring job that a runner has started: %s" % started)
    ended = [entry for entry in site.entries if entry.over_memory >= 3]
    for entry in site.entries:
        site.record.say("%s was over its memory %d times, had %d lives" % (entry.name, entry.over_memory, entry.lives))
    faults = []
    if len(ended) >= 2:
        faults.append("Fault: on %d of %d machines the process ended by itself three times or more (memory over the limit)"
                      % (len(ended), len(site.entries)))
    if status == 200 and not started:
        faults.append("LOST: the job was accepted, its tasks' turn has come, the runners are almost empty, nothing runs")
    return faults

main(HERE, case)
