"""An entry is frozen for a moment, and meanwhile an idle worker crashes and its machine
comes back as another kind. Are tasks that need the old kind started there?"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import harness as h

ROUNDS = 4
BUSY_WORKERS = 6
FREEZE_S = 0.35
TASK_MS = 900
KIND = "a"


async def replace_worker(worker, kind):
    """The machine's next worker has another id; it announces itself at once."""
    worker.crash()
    await asyncio.sleep(0.05)
    worker.generation = getattr(worker, "generation", 1) + 1
    worker.name = f"{worker.name.split('.')[0]}.{worker.generation}"
    worker.labels = [kind, "r1-1"]
    await worker.start()


async def play_round(deployment, record, trouble):
    idle = deployment.workers[-1]
    entry = deployment.processes["entry-1"]
    client = h.Client(record, "client")
    # A step on each busy worker, and after it one that needs the kind as well.
    steps = [h.step(TASK_MS, requirements=KIND), h.step(TASK_MS, count=4, after=0, requirements=KIND)]
    jobs = [
        asyncio.create_task(client.call(deployment.entries[0], "POST", h.new_id(),
                                        h.job(f"ms={TASK_MS} job {i}", steps), wait_ms=8000))
        for i in range(BUSY_WORKERS * 2)
    ]
    await asyncio.sleep(0.2)
    await idle.start()  # Joins when the first steps run, and is idle.
    await asyncio.sleep(TASK_MS / 1000 - 0.25)
    if trouble:
        entry.send_signal(signal.SIGSTOP)  # Just before the first steps end.
        record.write("platform", "freezes entry-1")
        await asyncio.sleep(0.15)
        await replace_worker(idle, "b")
        await asyncio.sleep(FREEZE_S - 0.2)
        entry.send_signal(signal.SIGCONT)
        record.write("platform", "wakes entry-1")
    await asyncio.gather(*jobs)
    await asyncio.sleep(0.5)
    idle.crash()
    idle.labels = [KIND, "r1-1"]
    await asyncio.sleep(0.5)


async def case(record, trouble):
    deployment = h.Deployment(record, entries=1, workers=BUSY_WORKERS + 1)
    try:
        await deployment.start()
        deployment.workers[-1].crash()
        await asyncio.sleep(0.5)
        for _ in range(ROUNDS):
            await play_round(deployment, record, trouble)
    finally:
        await deployment.stop()
    return [
        f"ROUTE: {task} run {number} was started at {run.started:.3f} on a worker with the labels "
        f"{run.labels}, and needs {KIND!r}"
        for _, task, number, run in deployment.runs() if KIND not in run.labels
    ]


h.play(FOLDER, case)
