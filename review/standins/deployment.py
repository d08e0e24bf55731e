"""A small deployment on loopback addresses: the project's two programs as processes, and
stand-ins of the platform's store and of workers. Everything that the clients and the workers
see is written to a record."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from net import HttpConnection, HttpServer, Proxy, Response, call_once

ROOT = Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 1000
STOP_TIMEOUT_MS = 50
HEARTBEAT_MS = 500
RESEND_MS = 1300
CONTACT_MS = 3000
CANCEL_MS = 3000
SERVICE = "desk"
HOST = "desk.example"
ROUTE = "/permits/"
CORES_MILLI = 64000


class CouldNotRun(Exception):
    """The case can't be judged: exit status 2."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's log: what the two programs use of it. Keyed topics only, one partition."""

    def __init__(self, address, view=lambda topic, key, value: value, topics=None):
        self.topics = topics if topics is not None else {}
        self.view = view
        self.server = HttpServer(address, self.handle)
        self.changed = asyncio.Event()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def append(self, topic, key, value):
        self.records(topic).append((key, value))

    async def handle(self, request):
        query = request.query
        topic = query.get("topic", "")
        records = self.records(topic)
        if request.path == "/-/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [
                {
                    "key": key.decode(),
                    "value": base64.b64encode(self.view(topic, key, value)).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in newest.items()
            ]
            return Response(200, {"items": items, "truncated": False, "end": len(records)})
        if request.path == "/-/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while len(records) <= start and time.monotonic() < until:
                await asyncio.sleep(0.01)
            body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in records[start:]:
                content = bytes([len(key)]) + key + self.view(topic, key, value)
                body += len(content).to_bytes(4, "big") + content
            return Response(200, body, "application/octet-stream")
        if request.path == "/-/log-append":
            first, rest = len(records), request.body
            while rest:
                length = int.from_bytes(rest[:4], "big")
                content, rest = rest[4 : 4 + length], rest[4 + length :]
                size = content[0]
                self.append(topic, content[1 : 1 + size], content[1 + size :])
            return Response(200, {"offset": first, "end": len(records)})
        return Response(404, {})


class Worker:
    """A worker as the users' protocol describes it, with `admission_check` off. The
    specification's first number is the run time of a task in milliseconds."""

    def __init__(self, record, name, address, agent, zone, rack, runs):
        self.record, self.name, self.address, self.agent = record, name, address, agent
        self.zone, self.rack = zone, rack
        self.all_runs = runs
        self.server = HttpServer(address, self.handle)
        self.tasks = []
        self.clock_rate = 1.0
        # Cleared while the worker handles no calls: what arrives is handled afterwards, in order.
        # Leases are kept all the same.
        self.awake = asyncio.Event()
        self.awake.set()
        self.reset_state()

    def reset_state(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.sequence = 0
        self.lease_end = 0.0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.end_count = 0
        self.state = "ready"
        self.ended_event = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000 * self.clock_rate)

    async def start(self):
        await self.server.start()
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))
        self.tasks.append(asyncio.create_task(self.watch_lease()))

    def heartbeat(self):
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "room": {"cpu": CORES_MILLI, "mem_mb": 131072, "gpu": 0},
            "labels": ["a", self.rack],
            "clock_ms": self.clock(),
            "born": self.born,
            "sequence": self.sequence,
        }

    async def send_heartbeats(self):
        while True:
            await self.awake.wait()
            body = json.dumps(self.heartbeat()).encode()
            try:
                await call_once(self.agent, "PUT", f"/-/instances/{self.name}", body, timeout=1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() >= self.lease_end:
                for key in list(self.running):
                    self.finish(key, "lapsed")

    async def handle(self, request):
        await self.awake.wait()
        call = request.json()
        if request.headers.get("cyclamencroft-expected-instance") != self.name:
            return Response(421, {"clock_ms": self.clock()})
        if call.get("fencing_token", 0) < self.token:
            return Response(409, {"clock_ms": self.clock(), "reason": "fence"})
        self.token = call.get("fencing_token", 0)
        if request.path == "/-/run-start":
            return self.run_start(call)
        if request.path == "/-/run-stop":
            return self.run_stop(call)
        if request.path == "/-/hold":
            return await self.hold(call)
        return Response(400, {"clock_ms": self.clock()})

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    def run_start(self, call):
        key = (call["task"], call["run"])
        if call["deadline_ms"] <= self.clock():
            return Response(409, {"clock_ms": self.clock(), "reason": "late"})
        self.extend(call["deadline_ms"])
        if key not in self.running:
            if call["run"] <= self.highest.get(call["task"], 0):
                return Response(409, {"clock_ms": self.clock(), "reason": "old"})
            self.begin(key, call["specification"])
        return Response(200, {"clock_ms": self.clock()})

    def begin(self, key, specification):
        entry = {"worker": self.name, "task": key[0], "run": key[1], "from": self.record.now(), "to": None, "how": None}
        self.all_runs.append(entry)
        duration = int(specification.split()[0]) / 1000
        timer = asyncio.get_running_loop().call_later(duration, self.finish, key, "done")
        self.running[key] = (entry, timer)
        self.record.write(f"{self.name}: task {key[0]} run {key[1]} starts, {duration:.1f} s of work")

    def finish(self, key, how):
        if key not in self.running:
            return
        entry, timer = self.running.pop(key)
        timer.cancel()
        entry["to"], entry["how"] = self.record.now(), how
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.end_count += 1
        self.ended.append([self.end_count, key[0], key[1], how, ""])
        self.record.write(f"{self.name}: task {key[0]} run {key[1]} ends {how}")
        self.ended_event.set()

    def run_stop(self, call):
        key = (call["task"], call["run"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.record.write(f"{self.name}: told to stop task {key[0]} run {key[1]}")
        if key in self.running:
            asyncio.get_running_loop().call_later(STOP_TIMEOUT_MS / 2000, self.finish, key, "stopped")
        return Response(200, {"clock_ms": self.clock()})

    async def hold(self, call):
        self.ended = [each for each in self.ended if each[0] > call.get("last_seen", 0)]
        if "deadline_ms" in call:
            self.extend(call["deadline_ms"])
        if call.get("wait_ms") and not self.ended:
            self.ended_event.clear()
            try:
                await asyncio.wait_for(self.ended_event.wait(), min(call["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 100, 0] for task, run in self.running]
        return Response(
            200,
            {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]},
        )

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


def render(template, values):
    """Fills a settings template as the platform does (plain placeholders only)."""

    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, template)


def deploy_commands():
    """The start commands of the deploy file by role."""
    commands, role = {}, None
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("[roles."):
            role = line[len("[roles.") : -1]
        if role and line.startswith("run = "):
            commands[role] = line.partition("=")[2].strip().strip('"').split()
    return commands


class Daemon:
    def __init__(self, folder, role, name, settings):
        self.name = name
        path = folder / f"{name}.toml"
        path.write_text(settings)
        command = [str(path) if word.endswith("settings.toml") else word for word in deploy_commands()[role]]
        command[0] = str(ROOT / command[0])
        if not os.access(command[0], os.X_OK):
            raise CouldNotRun(f"{command[0]} is not built")
        self.command = command
        self.log = open(folder / f"{name}.log", "ab")
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Deployment:
    """`entries` entries and `agents` agents with a worker each. Every agent reaches the entries
    through proxies, and clients reach an entry through one as well."""

    def __init__(self, record, entries=2, agents=3, clock_rate=1.0, first_entries=None):
        self.first_entries = first_entries
        self.clock_rate = clock_rate
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{20 + os.getpid() % 230}"
        self.entry_count, self.agent_count = entries, agents
        self.entries, self.agents, self.workers = [], [], []
        self.runs = []
        self.link_proxies, self.client_proxies, self.stores = {}, [], []

    def address(self, group, number, port):
        return f"{self.net}.{group}.{number + 1}:{port}"

    def ip(self, group, number):
        return f"{self.net}.{group}.{number + 1}"

    async def start(self):
        topics = {}
        main = Store(self.address(3, 0, 8169), topics=topics)
        main.append("keyed.op", b"config", json.dumps(self.configuration(1)).encode())
        self.stores.append(main)
        await main.server.start()
        agent_template = (ROOT / "deploy/agent-settings.toml").read_text()
        for number in range(self.entry_count):
            proxy = Proxy(self.address(4, number, 8161), self.address(1, number, 8161))
            await proxy.start()
            self.client_proxies.append(proxy)
        for number in range(self.entry_count if self.first_entries is None else self.first_entries):
            self.start_entry(number)
        for number in range(self.agent_count):
            await self.start_side(number, agent_template, topics)

    def start_entry(self, number):
        template = (ROOT / "deploy/entry-settings.toml").read_text()
        name = f"frontend-{number + 1}"
        fields = self.fields(name, 1, number, self.stores[0].server.address)
        self.entries.append(Daemon(self.folder, "entry", name, render(template, fields)))

    async def start_side(self, number, template, topics):
        for entry in range(self.entry_count):
            proxy = Proxy(self.address(10 + number, entry, 7720), self.address(1, entry, 7720))
            await proxy.start()
            self.link_proxies[number, entry] = proxy

        def view(topic, key, value):
            # Agents see the addresses of the proxies in place of those of the entries.
            if topic == "keyed.entries":
                return value.replace(f"{self.net}.1.".encode(), f"{self.net}.{10 + number}.".encode())
            return value

        store = Store(self.address(3, number + 1, 8169), view, topics)
        self.stores.append(store)
        await store.server.start()
        fields = self.fields(f"side-{number + 1}", 2, number, store.server.address)
        fields["seeds"] = [self.address(10 + number, entry, 8166) for entry in range(self.entry_count)]
        self.agents.append(Daemon(self.folder, "agent", f"side-{number + 1}", render(template, fields)))
        worker = Worker(self.record, f"i-{number + 1}", self.address(2, number, 8080), self.address(2, number, 8166), f"zone-{number % 3}", f"r{number}", self.runs)
        worker.clock_rate = self.clock_rate
        self.workers.append(worker)
        await worker.start()

    def fields(self, name, group, number, store):
        return {
            "node_name": name,
            "zone": f"zone-{number % 3}",
            "ip_address": self.ip(group, number),
            "internal_ports": [7720, 7735],
            "heartbeat_interval_ms": HEARTBEAT_MS,
            "seeds": [],
            "bounds": {"hold_max_ms": HOLD_MAX_MS},
            "listen": {
                "frontend": self.address(group, number, 8161),
                "readiness": self.address(group, number, 8167),
                "control": self.address(group, number, 8166),
            },
            "platform": {"address": store},
        }

    @staticmethod
    def configuration(version):
        return {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "host": HOST,
                    "path_prefix": ROUTE,
                    "kind": "unsafe",
                    "timeout_ms": 1500,
                    "target_latency_ms": 60,
                    "priority": 0,
                    "service": SERVICE,
                    "max_attempts": 2,
                    "stretch": 1.6,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_check_path": "/health",
                    "max_connections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admission_check": False,
                    "spare": False,
                }
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }

    async def ready(self, timeout=20):
        """Waits until every entry is ready and knows all endpoints."""
        end = time.monotonic() + timeout
        for number in range(len(self.entries)):
            while True:
                try:
                    answer = await call_once(self.address(1, number, 8167), "GET", "/-/readiness", timeout=1)
                    text = await call_once(self.address(1, number, 7735), "GET", "/metrics", timeout=1)
                    active = re.search(r"endpoints_active\S* (\d+)", text.body.decode())
                    if answer.status == 200 and active and int(active.group(1)) == self.agent_count:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > end:
                    raise CouldNotRun(f"entry {number + 1} is not ready")
                await asyncio.sleep(0.05)
        self.record.write("all entries are ready and know all workers")

    def post(self, connection, job, steps, specification, deadline_ms):
        body = json.dumps({"specification": specification, "steps": steps, "best_effort": True}).encode()
        headers = {"Host": HOST, "Cyclamencroft-Deadline-Milliseconds": str(deadline_ms)}
        return connection.call("POST", ROUTE + job, body, headers)

    def runs_at_once(self):
        """Pairs of runs of one task that overlap in time."""
        end = self.record.now()
        pairs = []
        for number, one in enumerate(self.runs):
            for other in self.runs[number + 1 :]:
                if one["task"] != other["task"]:
                    continue
                start = max(one["from"], other["from"])
                stop = min(one["to"] or end, other["to"] or end)
                if stop > start:
                    pairs.append((one, other, stop - start))
        return pairs

    def stop(self):
        for each in self.entries + self.agents:
            each.kill()
        for each in self.workers:
            each.close()
        for each in list(self.link_proxies.values()) + self.client_proxies:
            each.close()
        for each in self.stores:
            each.server.close()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_job_id():
    return f"{random.getrandbits(64):016x}"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder, **options):
    """Runs `case(deployment, record)`, which returns the broken rules as texts; exits with 1,
    0 or 2."""

    async def play():
        # An interrupted script ends its processes as well.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        record = Record(Path(folder) / "record.txt")
        record.write(f"disruption: {'yes' if trouble() else 'no'}")
        deployment = Deployment(record, **options)
        try:
            await deployment.start()
            await deployment.ready()
            broken = await asyncio.wait_for(case(deployment, record), 110)
            for text in broken:
                record.write(f"BROKEN {text}")
            record.write("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CouldNotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as fault:
            record.write(f"could not run: {fault!r}")
            return 2
        finally:
            deployment.stop()

    status = asyncio.run(play())
    print((Path(folder) / "record.txt").read_text(), end="")
    sys.exit(status)
