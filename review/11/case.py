"""A heartbeat of another writer reaches an agent while its worker runs tasks."""
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from platform_standins import Deployment, http_call, job_body, job_id, main  # noqa: E402

TASK_MS = 3000
DEADLINE_MS = 9000


async def play(case, trouble):
    deployment = Deployment(case, entries=2, workers=3)
    try:
        await deployment.start()
        jobs = [asyncio.ensure_future(deployment.call(
            n % 2, "POST", job_id(), job_body(TASK_MS, count=3), DEADLINE_MS)) for n in range(4)]
        await asyncio.sleep(1.0)
        if trouble:
            await foreign_heartbeat(deployment, 0)
        for job in jobs:
            await job
        await asyncio.sleep(1.0)
        return ["TWICE: %s ran on %s (run %d) and on %s (run %d) at the same time for %.0f ms"
                % (task, a["worker"], a["run"], b["worker"], b["run"], 1000 * time_s)
                for task, a, b, time_s in deployment.journal.overlaps()]
    finally:
        await deployment.stop()


async def foreign_heartbeat(deployment, number):
    """Well-formed, of a service that no configuration and no setting names."""
    worker = deployment.workers[number]
    beat = dict(worker.heartbeat(), service="archive", born=int(time.time() * 1000),
                address=deployment.address(200, deployment.app_port), clock_ms=120, sequence=1)
    worker.sequence -= 1
    status, _ = await http_call(worker.agent, "PUT", "/-/instances/i-0badcafe", {},
                                json.dumps(beat).encode(), 1.0)
    deployment.record.note("a heartbeat of another writer, service archive, reaches a%d: "
                           "answered %d" % (number, status))


main(__file__, play)
