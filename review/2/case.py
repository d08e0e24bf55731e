"""A worker that was idle for a while stands still for 1.75 s and then handles what has arrived."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import main, new_job_id, trouble  # noqa: E402
from net import HttpConnection  # noqa: E402

IDLE_S = 60
STANDSTILL_S = 1.75
CLOCK_RATE = 0.98
CLIENTS = 21
WORK_MS = 3000
DEADLINE_MS = 9000
STEPS = [{"count": 1, "cpu": 6200, "mem_mb": 64, "estimated_ms": WORK_MS}]


async def client(deployment, record, job):
    connection = HttpConnection(deployment.client_proxies[0].listen)
    answer = await deployment.post(connection, job, STEPS, f"{WORK_MS} permit", DEADLINE_MS)
    record.write(f"client: {job} is answered {answer.status} {answer.body.decode()}")
    connection.close()
    return answer.status


async def case(deployment, record):
    record.write(f"the workers are idle for {IDLE_S} s")
    await asyncio.sleep(IDLE_S)
    worker = deployment.workers[0]
    if trouble():
        record.write(f"disruption: {worker.name} stands still for {STANDSTILL_S} s")
        worker.awake.clear()
    clients = [asyncio.create_task(client(deployment, record, new_job_id())) for _ in range(CLIENTS)]
    await asyncio.sleep(STANDSTILL_S)
    worker.awake.set()
    statuses = await asyncio.gather(*clients)
    await asyncio.sleep(1)
    record.write(f"answers: {statuses}")
    return [
        f"TWICE: task {one['task']} runs on {one['worker']} from {one['from']:.3f} s (run {one['run']}) and on "
        f"{other['worker']} from {other['from']:.3f} s (run {other['run']}), both for {overlap:.3f} s"
        for one, other, overlap in deployment.runs_at_once()
    ]


main(case, Path(__file__).parent, entries=2, agents=7, clock_rate=CLOCK_RATE)
