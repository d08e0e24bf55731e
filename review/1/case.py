"""Half of the connections of one entry's machine are reset at once; its process runs on."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import CONTACT_MS, RESEND_MS, main, new_job_id, trouble  # noqa: E402
from net import HttpConnection, reset  # noqa: E402

CLIENTS = 20
WORK_MS = 3000
DEADLINE_MS = 9000
STEPS = [{"count": 1, "cpu": 6200, "mem_mb": 64, "estimated_ms": WORK_MS}]


async def client(deployment, record, job):
    """Hands the job in at the first entry, and again at the next one when its connection breaks."""
    for attempt in range(3):
        proxy = deployment.client_proxies[attempt % len(deployment.client_proxies)]
        connection = HttpConnection(proxy.listen)
        record.write(f"client: POST {job} to entry {attempt % len(deployment.client_proxies) + 1}")
        try:
            answer = await deployment.post(connection, job, STEPS, f"{WORK_MS} permit", DEADLINE_MS)
            record.write(f"client: {job} is answered {answer.status} {answer.body.decode()}")
            if answer.status not in (502, 504):
                return answer.status
        except (OSError, asyncio.IncompleteReadError) as fault:
            record.write(f"client: the connection for {job} broke ({type(fault).__name__})")
        finally:
            connection.close()
        await asyncio.sleep(RESEND_MS / 1000)
    return None


async def case(deployment, record):
    await asyncio.sleep(CONTACT_MS / 1000)
    clients = [asyncio.create_task(client(deployment, record, new_job_id())) for _ in range(CLIENTS)]
    await asyncio.sleep(0.5)
    if trouble():
        links = [pair for (_, entry), proxy in deployment.link_proxies.items() if entry == 0 for pair in proxy.pairs]
        callers = list(deployment.client_proxies[0].pairs)
        half = (len(links) + len(callers)) // 2
        chosen = random.sample(links + callers, half)
        record.write(f"disruption: {half} of {len(links) + len(callers)} connections of entry 1's machine are reset")
        # All in the same turn of the event loop.
        for pair in chosen:
            for end in pair:
                reset(end)
    statuses = await asyncio.gather(*clients)
    await asyncio.sleep(1)
    record.write(f"answers: {statuses}")
    return [
        f"TWICE: task {one['task']} runs on {one['worker']} from {one['from']:.3f} s (run {one['run']}) and on "
        f"{other['worker']} from {other['from']:.3f} s (run {other['run']}), both for {overlap:.3f} s"
        for one, other, overlap in deployment.runs_at_once()
    ]


main(case, Path(__file__).parent, entries=2, agents=6)
