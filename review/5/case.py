"""Clients whose jobs get no answer cancel them, while the store carries some writes out late."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from small_site import main  # noqa: E402

JOBS, EVERY_S = 60, 0.05
SHARE, LOST_S = 0.35, 4.5
CANCEL_MS = 3000
STEP = {"cpu": 100, "mem-mb": 64, "estimated-ms": 2000}
BODY = {"spec": "run 2000", "steps": [dict(STEP, count=2), dict(STEP, count=2, after=[0]), dict(STEP, count=2, after=[1])]}


async def case(make_site, trouble):
    site = make_site(entries=3, runners=4)
    await site.begin()
    await asyncio.sleep(2)
    cancelled = {}

    async def client(number):
        job = "%016x" % (0x5c0e7a21d94b0000 + number)
        status, _ = await site.request(site.entries[number % 3], "POST", job, BODY)
        if status in (200, 429, 503):
            return
        # No answer, 502 or 504: the client gives up, and cancels at another entry what may have been accepted.
        for _ in range(5):
            status, _ = await site.request(site.entries[(number + 1) % 3], "DELETE", job)
            if status in (200, 410):
                cancelled[job] = (time.monotonic(), status)
                return
            await asyncio.sleep(0.2)
    if trouble:
        site.store.lose(SHARE, LOST_S, seed=int(time.time()))
        stable_from = time.monotonic() + LOST_S + 3  # in touch again contact-ms after the impairment
    else:
        stable_from = time.monotonic()
    clients = []
    for number in range(JOBS):
        clients.append(asyncio.ensure_future(client(number)))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*clients)
    await asyncio.sleep(16)
    site.record.say("%d jobs were cancelled after no answer: %d with 200, %d with 410" % (
        len(cancelled), sum(1 for c in cancelled.values() if c[1] == 200), sum(1 for c in cancelled.values() if c[1] == 410)))
    faults = []
    for at, runner, task, run, _, _ in site.starts:
        job = task.split(".")[0]
        if job in cancelled and at > cancelled[job][0] + CANCEL_MS / 1000 and at > stable_from:
            faults.append("%s run %d starts on %s %.1f s after the job's cancelling was answered %d" % (
                task, run, runner.id, at - cancelled[job][0], cancelled[job][1]))
    return faults


main(HERE, case)
