"""An entry is killed, and half a second later the agents of some of its runs. The
callers send their jobs again after 1.3 s. Do two runs of a task overlap?"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import harness as h

JOBS = 12
TASK_MS = 3000
BETWEEN_S = 0.5
KILLED_AGENTS = 2
RESTART_S = 0.5


async def submit(client, deployment, name, body):
    """Sends the job to the first entry, and after a broken connection to the second."""
    answer, _, broken = await client.call(deployment.entries[0], "POST", name, body, wait_ms=12000)
    if answer is None:
        await asyncio.sleep(h.RESEND_S - (deployment.record.now() - broken))
        await client.call(deployment.entries[1], "POST", name, body, wait_ms=9000)


async def restart_entry(deployment):
    await asyncio.sleep(RESTART_S)
    await deployment.start_entry(0)
    deployment.record.write("platform", "starts entry-1 again")


async def kill_agents(deployment):
    for index in range(KILLED_AGENTS):
        deployment.processes[f"agent-{index + 1}"].kill()
        deployment.record.write("platform", f"kills agent-{index + 1}")
    await asyncio.sleep(RESTART_S)
    for index in range(KILLED_AGENTS):
        await deployment.start_agent(index)
        deployment.record.write("platform", f"starts agent-{index + 1} again")


async def case(record, trouble):
    deployment = h.Deployment(record, entries=2, workers=4)
    try:
        await deployment.start()
        jobs = [
            asyncio.create_task(submit(h.Client(record, f"client-{i}"), deployment, h.new_id(),
                                       h.job(f"ms={TASK_MS} job {i}", [h.step(TASK_MS)])))
            for i in range(JOBS)
        ]
        await asyncio.sleep(0.5)
        deployment.processes["entry-1"].kill()
        record.write("platform", "kills entry-1")
        restarted = asyncio.create_task(restart_entry(deployment))
        if trouble:
            await asyncio.sleep(BETWEEN_S)
            await kill_agents(deployment)
        await asyncio.gather(restarted, *jobs)
    finally:
        await deployment.stop()
    return h.twice(deployment)


h.play(FOLDER, case)
