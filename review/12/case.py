"""Among ordinary jobs come a few that no worker can ever hold."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from platform_standins import Deployment, job_body, job_id, main  # noqa: E402

ROOM = {"cpu": 16000, "mem_mb": 32768}
ORDINARY = {"cpu": 1600, "mem_mb": 64}
# 8 GiB in the wrong unit: bytes instead of megabytes.
HOPELESS = {"cpu": 1600, "mem_mb": 8 * 1024 ** 3}
JOBS = 100
HOPELESS_EACH = 20  # One job in 20: a share of 0.05.
GAP_S = 0.03  # All of them come within 3 s.


async def play(case, trouble):
    deployment = Deployment(case, entries=2, workers=3, cpu=ROOM["cpu"])
    needs = {}
    try:
        await deployment.start()
        calls = []
        for n in range(JOBS):
            hopeless = trouble and n % HOPELESS_EACH == HOPELESS_EACH - 1
            need = HOPELESS if hopeless else ORDINARY
            job = job_id()
            needs[job] = need
            calls.append(asyncio.ensure_future(deployment.call(
                n % 2, "POST", job, job_body(200, count=2, estimated_ms=200, **need), 1500)))
            await asyncio.sleep(GAP_S)
        for call in calls:
            await call
        return over_room(deployment, needs)
    finally:
        await deployment.stop()


def over_room(deployment, needs):
    """Starts that brought a worker over its room, by the jobs as they were sent."""
    starts = [(run["from"], run, task) for task, runs in deployment.journal.intervals.items()
              for run in runs]
    breaches = []
    for at, run, task in sorted(starts, key=lambda start: start[0]):
        for dimension, room in ROOM.items():
            used = sum(needs[other.split(".")[0]][dimension]
                       for begun, each, other in starts
                       if each["worker"] == run["worker"] and begun <= at
                       and (each["to"] is None or each["to"] > at))
            if used > room:
                breaches.append("LIMIT: the start of %s brings %s to %s %d of %d"
                                % (task, run["worker"], dimension, used, room))
    return breaches


main(__file__, play)
