"""A runner crashes under a gang that has made checkpoints; the gang's next run resumes."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from small_site import main  # noqa: E402

MEMBERS, WORK_MS = 6, 20000
JOB = "5c0e7a21d94b36f8"


async def case(make_site, trouble):
    site = make_site(entries=3, runners=4)
    await site.begin()
    await asyncio.sleep(2)
    status = await site.submit(JOB, {"spec": "gang %d %d" % (MEMBERS, WORK_MS), "steps": [
        {"count": MEMBERS, "cpu": 8000, "mem-mb": 16000, "estimated-ms": WORK_MS, "gang": True, "checkpointing": True,
         "anti-affinity": 2}]})
    site.record.say("gang of %d tasks handed in: %s" % (MEMBERS, status))
    await site.wait_for(lambda: any(g["began"] for g in site.gangs.runs.values()), 10, "gang at work")
    if trouble:
        await asyncio.sleep(7)
        runner = next(r for r in site.runners if r.running)

        def has_newer():
            return any(site.gangs.checkpoint(task, run) != runner.listed.get(task) for task, run in runner.running.items())
        await site.wait_for(has_newer, 5, "checkpoint that no hold has listed yet")
        runner.crash(down_s=3)

    async def done():
        return (await site.request(site.entries[0], "GET", JOB))[1] == '{"state":"done"}'
    shown = await site.wait_for(done, 60, "done", fatal=False)
    site.record.say("job shown as done: %s" % bool(shown))
    faults = []
    for run in sorted({s[3] for s in site.starts}):
        carried = {s[2]: s[5] for s in site.starts if s[3] == run}
        site.record.say("run %d: %s" % (run, ", ".join("%s from '%s'" % c for c in sorted(carried.items()))))
        if len(set(carried.values())) > 1:
            faults.append("the members of run %d are told to start from different checkpoints: %s"
                          % (run, sorted(set(carried.values()))))
    return faults


main(HERE, case)
