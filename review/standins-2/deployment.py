"""A small site for the cases of this review: the deploy file's programs as
processes, and stand-ins for the platform, its servers and its clients.

Everything listens on addresses of one free loopback network. Servers (minions)
keep to PROTOCOL.md; a case changes only what its disruption names.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "site.example"
CONTROL_PORT = 8144
FRONT_PORT = 8149
READY_PORT = 8141
ADVICE_PORT = 8142
FIRST_INTERNAL_PORT = 7380
HEARTBEAT_S = 1.5
SETTINGS_VARIABLE = "SASSAFRASBANK_SETTINGS"

# The sheet of the small deployment: kzb-sched's bounds.
BOUNDS = {
    "ConfigApplyMs": 2000, "DrainMs": 2000, "HoldMaxMs": 6000, "StopMs": 900,
    "cancel_ms": 3000, "visible_ms": 3000, "ContactMs": 3000, "GraceS": 6,
}


class CannotRun(Exception):
    """The case couldn't run, which says nothing about the rule."""


class Record:
    """One line for each event, with seconds since the begin."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, event, **fields):
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")


# --- HTTP/1.1, as far as the site needs it ---

async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        row = (await reader.readline()).decode("latin-1").strip()
        if not row:
            break
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").strip(), headers, body


async def call(address, port, method, path, body=None, timeout=2.5, host=HOST):
    """Returns status and JSON body; status 0 if no whole answer came."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port)
            data = b"" if body is None else json.dumps(body).encode()
            head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"Content-Type: application/json\r\nX-Deadline-Ms: 3000\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n")
            writer.write(head.encode() + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            line, _, answer = message
            try:
                value = json.loads(answer) if answer else None
            except ValueError:
                value = None
            return int(line.split()[1]), value
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer:
            writer.close()


class HttpServer:
    """Serves `handle(method, path, headers, body)` -> (status, body). The
    handler may return None: then the request gets no answer."""

    def __init__(self, address, port, handle):
        self.address, self.port, self.handle = address, port, handle
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                             f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """As the end of a process: connections break, new ones are refused."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


# --- the platform: settings from the template, processes ---

def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def show(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(it) for it in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, fields):
    """The part of the template's language that this project uses."""
    def section(match):
        value = look_up(fields, match[1])
        if value is None or value is False:
            return ""
        return match[2].replace("{{.}}", show(value))

    def name(match):
        key, _, form = match[1].partition("|")
        value = look_up(fields, key)
        return json.dumps(value) if form == "json" else show(value)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^#/^}][^}]*)\}\}", name, text)


def free_network():
    """Returns the first three numbers of a loopback network that nobody uses."""
    import socket
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (CONTROL_PORT, FIRST_INTERNAL_PORT, FRONT_PORT):
                with socket.socket() as it:
                    it.bind((f"{net}.1", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Process:
    def __init__(self, site, name, role, fields):
        self.site, self.name, self.role, self.fields = site, name, role, fields
        self.child = None

    async def start(self):
        role = self.site.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.fields)
        path = os.path.join(self.site.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env[SETTINGS_VARIABLE] = path
        command = role["run"].split()
        program = os.path.join(ROOT, command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} isn't built")
        self.child = await asyncio.create_subprocess_exec(
            program, *command[1:], cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        self.fields["Bootstrap"] = False  # for the next start
        self.site.record.write("process", name=self.name, pid=self.child.pid)

    async def kill(self):
        if self.child and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()


class Site:
    def __init__(self, record, fronts=2):
        self.record = record
        self.net = free_network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.control = [f"{self.net}.{n}" for n in (1, 2, 3)]
        self.fronts = [f"{self.net}.{20 + n}" for n in range(fronts)]
        seeds = [f"{it}:{CONTROL_PORT}" for it in self.control]
        self.processes = {}
        for n, ip in enumerate(self.control):
            name = f"core-{n + 1}"
            data = os.path.join(self.folder, name)
            os.makedirs(data)
            self.add(name, "control", ip, seeds, {"Control": f"{ip}:{CONTROL_PORT}"}, data)
        for n, ip in enumerate(self.fronts):
            listen = {"Front": f"{ip}:{FRONT_PORT}", "Ready": f"{ip}:{READY_PORT}"}
            self.add(f"front-{n + 1}", "entry", ip, seeds, listen, None)
        self.servers = []
        self.runs = []  # of all servers, in the order of their begin
        self.rng = random.Random(1)

    def add(self, name, role, ip, seeds, listen, data):
        fields = {
            "NodeName": name, "Zone": "zone-a", "Ip": ip, "DataDir": data,
            "InternalPorts": [FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 1],
            "Seeds": seeds, "Bootstrap": True, "Listen": listen,
            "FaultTolerance": {"Machines": 1}, "Bounds": BOUNDS,
            "Advice": f"{self.net}.9:{ADVICE_PORT}",
        }
        self.processes[name] = Process(self, name, role, fields)

    async def start(self, manifest):
        for it in self.processes.values():
            await it.start()
        await self.wait("the manifest is accepted", lambda: self.put(manifest), 20)

        async def all_ready():
            answers = [await call(ip, READY_PORT, "GET", "/ready") for ip in self.fronts]
            return all(status == 200 for status, _ in answers)
        await self.wait("the entries are ready", all_ready, 20)

    async def wait(self, what, check, limit, pause=0.1):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await check():
                self.record.write("so", what=what)
                return
            await asyncio.sleep(pause)
        raise CannotRun(f"waited {limit} s in vain: {what}")

    async def put(self, manifest):
        status, _ = await call(self.rng.choice(self.control), CONTROL_PORT, "PUT",
                               "/config", manifest)
        return status == 200

    # --- clients ---

    async def request(self, method, path, body=None, front=None):
        ip = front or self.rng.choice(self.fronts)
        status, value = await call(ip, FRONT_PORT, method, path, body)
        self.record.write("client", method=method, path=path, at=ip, status=status,
                          answer=value)
        return status, value

    async def submit(self, prefix, body, job=None):
        """Hands a job in, again after no clear answer. Returns its id."""
        job = job or f"{self.rng.getrandbits(64):016x}"
        for _ in range(5):
            status, _ = await self.request("POST", f"{prefix}{job}", body)
            if status // 100 == 2:
                return job
            await asyncio.sleep(0.2)
        raise CannotRun(f"job {job} wasn't accepted")

    async def state(self, prefix, job):
        status, value = await self.request("GET", f"{prefix}{job}")
        return value.get("State") if status == 200 and value else None

    async def stop(self):
        for it in self.servers:
            it.end_process()
        for it in self.processes.values():
            await it.kill()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- servers (minions) ---

class Run:
    def __init__(self, server, task, number, spec, checkpoint):
        self.server, self.task, self.number = server, task, number
        self.spec, self.checkpoint = spec, checkpoint
        self.begin, self.end, self.how = time.monotonic(), None, None
        self.order_received = self.begin
        self.is_late_order = False
        self.work_s = json.loads(spec)["work_s"]

    def percent(self):
        return min(99, int(100 * (time.monotonic() - self.begin) / self.work_s))


class Boot:
    """What one life of a server knows."""

    def __init__(self):
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.fence, self.sequence, self.lease_until = 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.ends = 0
        self.changed = asyncio.Event()
        self.tasks = []

    def clock(self):
        return 1000 + int((time.monotonic() - self.begin) * 1000)


class Server:
    """A minion that keeps to the protocol. Subclasses override `on_order` or
    `handle` to make the trouble of their case."""

    def __init__(self, site, name, address, service, labels, capacity):
        self.site, self.name, self.address = site, name, address
        self.service, self.labels, self.capacity = service, labels, capacity
        self.http = HttpServer(address, 8080, self.handle)
        self.boot, self.state, self.acked_draining_at = None, "ready", None
        self.beat_to = None
        site.servers.append(self)

    async def start(self):
        self.boot = Boot()
        self.state = "ready"
        await self.http.start()
        self.boot.tasks = [asyncio.create_task(self.beat_forever()),
                           asyncio.create_task(self.watch())]
        self.site.record.write("server-up", server=self.name, born=self.boot.born)

    def end_process(self):
        """A kill: nothing runs any more, and the port has no listener."""
        boot, self.boot = self.boot, None
        if boot is None:
            return
        self.http.stop()
        for run in boot.running.values():
            run.end, run.how = time.monotonic(), "crash"
        for it in boot.tasks:
            it.cancel()
        self.site.record.write("server-down", server=self.name)

    # --- heartbeats ---

    def report(self):
        boot = self.boot
        boot.sequence += 1
        body = {"Service": self.service, "Address": f"{self.address}:8080",
                "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": self.state,
                "ColdLeftMs": 0, "Capacity": self.capacity, "Labels": self.labels,
                "ClockMs": boot.clock(), "Sequence": boot.sequence, "born": boot.born}
        if self.state == "draining":
            body["RemainingMs"] = BOUNDS["DrainMs"]
        return body

    async def beat(self):
        """Tries one node after the other until one acknowledges."""
        nodes = list(self.site.control)
        self.site.rng.shuffle(nodes)
        if self.beat_to:
            nodes.insert(0, self.beat_to)
        for node in nodes:
            state = self.state
            status, value = await call(node, CONTROL_PORT, "PUT",
                                       f"/instances/{self.name}", self.report(), 1.0)
            if status // 100 == 2:
                hint = (value or {}).get("BeatAddr")
                self.beat_to = hint.split(":")[0] if hint else None
                if state == "draining" and self.acked_draining_at is None:
                    self.acked_draining_at = time.monotonic()
                    self.site.record.write("drain-acknowledged", server=self.name, by=node)
                return True
            self.beat_to = None
        return False

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self, lasts_s):
        """Says that it drains, works on for `lasts_s` and leaves."""
        self.state = "draining"
        self.site.record.write("drain", server=self.name)
        while not await self.beat():
            await asyncio.sleep(0.2)
        await asyncio.sleep(lasts_s)
        await call(self.site.rng.choice(self.site.control), CONTROL_PORT, "DELETE",
                   f"/instances/{self.name}", {"born": self.boot.born}, 1.0)
        self.end_process()

    # --- orders ---

    async def handle(self, method, path, headers, body):
        boot = self.boot
        if boot is None:
            return None  # the process ended as the request arrived
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance") != self.name:
            return 421, {}
        order = json.loads(body)
        if path == "/hold":
            return await self.hold(boot, order)
        return await self.on_order(path, order)

    async def on_order(self, path, order):
        return self.carry_out(path, order)

    def carry_out(self, path, order, is_late=False, received=None):
        boot = self.boot
        answer = {"ClockMs": boot.clock()}
        if order.get("Fence", 0) < boot.fence:
            return 409, answer | {"Reason": "fence"}
        boot.fence = order["Fence"]
        if path == "/run-start":
            return self.run_start(order, answer, is_late, received)
        if path == "/run-stop":
            return self.run_stop(order, answer)
        return 200, answer

    def extend(self, until):
        boot = self.boot
        boot.lease_until = max(boot.lease_until,
                               min(until, boot.clock() + BOUNDS["HoldMaxMs"]))

    def run_start(self, order, answer, is_late, received):
        boot, key = self.boot, (order["Task"], order["Run"])
        if order.get("UntilMs", 0) <= boot.clock():
            return 409, answer | {"Reason": "late"}
        self.extend(order["UntilMs"])
        if key in boot.running:
            return 200, answer
        if order["Run"] <= boot.highest.get(order["Task"], 0):
            return 409, answer | {"Reason": "old"}
        run = Run(self, *key, order["TaskSpec"], order.get("Checkpoint", ""))
        run.is_late_order = is_late
        run.order_received = received or run.begin
        boot.running[key] = run
        self.site.runs.append(run)
        self.site.record.write("begin", server=self.name, task=run.task, run=run.number,
                               late_order=is_late)
        return 200, answer

    def run_stop(self, order, answer):
        boot, key = self.boot, (order["Task"], order["Run"])
        boot.highest[key[0]] = max(boot.highest.get(key[0], 0), key[1])
        if key in boot.running:
            self.finish(boot.running[key], "stopped")
        return 200, answer

    def finish(self, run, how):
        boot = self.boot
        del boot.running[run.task, run.number]
        boot.highest[run.task] = max(boot.highest.get(run.task, 0), run.number)
        boot.ends += 1
        boot.ended.append([boot.ends, run.task, run.number, how, ""])
        run.end, run.how = time.monotonic(), how
        boot.changed.set()
        self.site.record.write("end", server=self.name, task=run.task, run=run.number, how=how)

    async def hold(self, boot, order):
        if order.get("Fence", 0) < boot.fence:
            return 409, {"ClockMs": boot.clock(), "Reason": "fence"}
        boot.fence = order["Fence"]
        boot.ended = [it for it in boot.ended if it[0] > order["AckCursor"]]
        if order.get("UntilMs"):
            self.extend(order["UntilMs"])
        if order.get("WaitMs") and not boot.ended:
            boot.changed.clear()
            try:
                await asyncio.wait_for(boot.changed.wait(), order["WaitMs"] / 1000)
            except TimeoutError:
                pass
        running = [[it.task, it.number, "", it.percent(), 100] for it in boot.running.values()]
        return 200, {"ClockMs": boot.clock(), "born": boot.born, "Running": running,
                     "Ended": boot.ended[:500]}

    async def watch(self):
        while True:
            await asyncio.sleep(0.005)
            boot, now = self.boot, time.monotonic()
            is_lapsed = boot.clock() >= boot.lease_until
            for run in list(boot.running.values()):
                if is_lapsed:
                    self.finish(run, "lapsed")
                elif now >= run.begin + run.work_s:
                    self.finish(run, "done")


# --- manifests and jobs ---

def make_route(name, prefix, service, attempts=4, priority=0):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "unsafe",
            "TimeoutMs": 3000, "TargetLatencyMs": 3000, "Priority": priority,
            "Service": service, "MaxAttempts": attempts, "Stretch": 4.0}


def make_manifest(version, routes, services):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": it, "HealthPath": "/health", "MaxConns": 64,
                          "Protocol": "h1", "Tls": False, "AdmissionCheck": False,
                          "Spare": False} for it in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def make_job(work_s, **step):
    fields = {"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimateMs": int(work_s * 1000)}
    return {"TaskSpec": json.dumps({"work_s": work_s}), "Steps": [fields | step]}


def run_case(record_path, body):
    """Runs `body(site, trouble)`, which returns whether the rule held. Exits
    with 0 if so, 1 if it was broken and 2 if the case couldn't run."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", trouble=trouble)

    async def whole():
        site = Site(record)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for it in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(it, task.cancel)
        try:
            async with asyncio.timeout(110):
                return await body(site, trouble)
        finally:
            await site.stop()

    try:
        holds = asyncio.run(whole())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write("cannot-run", why=repr(error))
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("verdict", held=holds)
    print("the rule held" if holds else "the rule was broken")
    sys.exit(0 if holds else 1)
