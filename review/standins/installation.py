"""A small installation on loopback: the programs of the deploy file, and
stand-ins for servers, callers and the operator that follow the users' pages.

One event loop runs all stand-ins. The programs are separate processes.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, field

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join("target", "sassafras-jobd")  # `run` of both roles

CONTROL_PORT = 8144
FRONT_PORT = 8149
READY_PORT = 8141
PEER_PORT = 7380
METRICS_PORT = 7381
SERVER_PORT = 8080
ADVISER_PORT = 8142

HOLD_MAX_MS = 6000  # Bounds of the small installation
STOP_MS = 900
HEARTBEAT_MS = 1500
QUEUE_HOST = "queues.example"


class CannotRun(Exception):
    """The case can't be run, which is no verdict."""


def wall_ms():
    return int(time.time() * 1000)


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def seconds(self):
        return time.monotonic() - self.begin

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.seconds():8.3f} {what} {text}\n")
        self.file.flush()


# --- HTTP/1.1, as much of it as the pages need ---


async def read_message(reader):
    """Returns the first line, the headers and the body of one message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(address, port, method, path, body=None, headers=None, limit=1.0):
    """Sends one request on a new connection. Returns the status and the parsed
    body, or None if no complete answer came in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            data = body if isinstance(body, bytes) else (
                b"" if body is None else json.dumps(body).encode())
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                     "Content-Type: application/json", "Connection: close"]
            given = {"Host": f"{address}:{port}"} | (headers or {})
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            try:
                value = json.loads(answer) if answer else {}
            except ValueError:
                value = {}
            return int(first.split()[1]), value
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class HttpServer:
    """Serves `handle(method, path, headers, body)`, a coroutine that returns a
    status and a body."""

    def __init__(self, address, port, handle):
        self.address, self.port, self.handle = address, port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port, backlog=256)

    def stop(self):
        """Closes the listener and resets the open connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                headers["peer"] = writer.get_extra_info("peername")[0]
                method, path, _ = first.split(" ", 2)
                status, value = await self.handle(method, path, headers, body)
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# --- servers ---


@dataclass
class Run:
    task: str
    number: int
    begin: float
    work_s: float  # infinite for tasks that last
    end: float = None
    how: str = ""


@dataclass
class Boot:
    """What one life of a server holds."""

    born: int
    begin: float
    fence: int = 0
    lease_until: int = 0
    running: dict = field(default_factory=dict)  # (task, run) to Run
    ended: list = field(default_factory=list)    # rows of PROTOCOL
    last_end: int = 0
    highest: dict = field(default_factory=dict)  # task to its last run ended
    sequence: int = 0


class Server:
    """A server without an admission check. `work_s` tells how long a task
    works, from its TaskSpec."""

    def __init__(self, site, name, address, service, work_s,
                 capacity=(16000, 32768, 0), kind="a", rack="r1"):
        self.site, self.name, self.address = site, name, address
        self.service, self.work_s = service, work_s
        self.capacity, self.labels = capacity, [kind, rack]
        self.http = HttpServer(address, SERVER_PORT, self.handle)
        self.boot = None
        self.tasks = []
        self.changed = asyncio.Event()
        self.state = "ready"
        self.beat_address = None
        self.cut = False  # no path to or from the system

    async def start(self):
        self.boot = Boot(wall_ms(), time.monotonic())
        self.state = "ready"
        await self.http.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch())]
        self.site.record.write("server-start", server=self.name, born=self.boot.born)

    def crash(self):
        """The process is killed: all that runs ends, nothing is remembered."""
        self.site.record.write("server-crash", server=self.name)
        for run in list(self.boot.running.values()):
            self.finish(run, "crashed", listed=False)
        for task in self.tasks:
            task.cancel()
        self.http.stop()
        self.boot = None

    def clock(self):
        return int((time.monotonic() - self.boot.begin) * 1000)

    def finish(self, run, how, listed=True):
        boot = self.boot
        boot.running.pop((run.task, run.number), None)
        run.end, run.how = time.monotonic(), how
        boot.highest[run.task] = max(boot.highest.get(run.task, 0), run.number)
        if listed:
            boot.last_end += 1
            boot.ended.append([boot.last_end, run.task, run.number, how, ""])
        self.site.record.write("end", server=self.name, task=run.task,
                               run=run.number, how=how)
        self.changed.set()

    async def watch(self):
        """Ends tasks whose work is done and those whose lease has expired."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for run in list(self.boot.running.values()):
                if self.clock() >= self.boot.lease_until:
                    self.finish(run, "lapsed")
                elif now >= run.begin + run.work_s:
                    self.finish(run, "done")

    async def beat(self):
        names = list(self.site.control)
        random.shuffle(names)
        while True:
            self.boot.sequence += 1
            body = {"Service": self.service, "Address": f"{self.address}:{SERVER_PORT}",
                    "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": self.state,
                    "ColdLeftMs": 0,
                    "Capacity": dict(zip(("Cpu", "MemMb", "Gpu"), self.capacity)),
                    "Labels": self.labels, "ClockMs": self.clock(),
                    "Sequence": self.boot.sequence, "born": self.boot.born}
            targets = [self.beat_address] if self.beat_address else []
            targets += [f"{self.site.control[name]}:{CONTROL_PORT}" for name in names]
            answer = None
            for target in targets if not self.cut else []:
                host, port = target.rsplit(":", 1)
                answer = await call(host, int(port), "PUT", f"/instances/{self.name}", body)
                if answer and answer[0] // 100 == 2:
                    self.beat_address = answer[1].get("BeatAddr", self.beat_address)
                    break
                self.beat_address = None
            acknowledged = bool(answer) and answer[0] // 100 == 2
            await asyncio.sleep(HEARTBEAT_MS / 1000 if acknowledged else 0.2)

    async def handle(self, method, path, headers, body):
        boot = self.boot
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"ClockMs": self.clock()}
        try:
            order = json.loads(body)
        except ValueError:
            return 400, {"ClockMs": self.clock()}
        if order.get("Fence", 0) < boot.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        boot.fence = order.get("Fence", 0)
        if path == "/run-start":
            return self.run_start(order)
        if path == "/run-stop":
            return self.run_stop(order)
        if path == "/hold":
            return await self.hold(order)
        return 200, {"ClockMs": self.clock()}

    def extend_lease(self, order):
        until = min(order.get("UntilMs", 0), self.clock() + HOLD_MAX_MS)
        self.boot.lease_until = max(self.boot.lease_until, until)

    def run_start(self, order):
        boot, task, number = self.boot, order["Task"], order["Run"]
        self.extend_lease(order)
        answer = {"ClockMs": self.clock()}
        reason = None
        if (task, number) in boot.running:
            pass
        elif number <= boot.highest.get(task, 0):
            reason = "old"
        elif order.get("UntilMs", 0) <= self.clock():
            reason = "late"
        elif not self.site.adviser.is_valid(order, self):
            reason = "ticket"
        else:
            run = Run(task, number, time.monotonic(), self.work_s(order["TaskSpec"]))
            boot.running[(task, number)] = run
            self.site.runs.append((self, run))
            self.site.record.write("start", server=self.name, task=task, run=number,
                                   fence=boot.fence)
        if reason:
            answer["Reason"] = reason
            return 409, answer
        return 200, answer

    def run_stop(self, order):
        boot, task, number = self.boot, order["Task"], order["Run"]
        run = boot.running.get((task, number))
        boot.highest[task] = max(boot.highest.get(task, 0), number)
        if run:
            self.finish(run, "stopped")
        return 200, {"ClockMs": self.clock()}

    async def hold(self, order):
        boot = self.boot
        self.extend_lease(order)
        boot.ended = [row for row in boot.ended if row[0] > order.get("AckCursor", 0)]
        until = time.monotonic() + order.get("WaitMs", 0) / 1000
        while not boot.ended and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.boot is not boot:
            raise OSError("the server has crashed")
        now = time.monotonic()
        running = []
        for run in boot.running.values():
            share = min(99, int(100 * (now - run.begin) / run.work_s)) if run.work_s else 0
            running.append([run.task, run.number, "", share, 0])
        return 200, {"ClockMs": self.clock(), "born": boot.born, "Running": running,
                     "Ended": boot.ended[:500]}


# --- the service that knows the policy of queues with advice ---


class Adviser:
    """`allows(step, server)` is the policy. It handles one call at a time for
    each calling machine."""

    def __init__(self, site, decide_ms, each_ms, valid_ms, allows, queued_jobs):
        self.site, self.allows = site, allows
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms
        self.queued_jobs = queued_jobs  # jobs of queues with advice
        self.tickets = {}  # ticket to (step, id of the server, end of validity)
        self.turns = {}
        self.http = HttpServer(f"{site.subnet}.200", ADVISER_PORT, self.handle)

    async def handle(self, method, path, headers, body):
        call_body = json.loads(body)
        step, workers = call_body["Step"], call_body["Workers"]
        async with self.turns.setdefault(headers["peer"], asyncio.Lock()):
            await asyncio.sleep((self.decide_ms + self.each_ms * len(workers)) / 1000)
        good = []
        for name in workers:
            if self.allows(step, name):
                ticket = f"{random.getrandbits(64):016x}"
                until = time.monotonic() + self.valid_ms / 1000
                self.tickets[ticket] = (step, name, until)
                good.append([name, ticket])
        self.site.record.write("advice", step=step, workers=",".join(workers),
                               good=",".join(name for name, _ in good))
        return 200, {"Good": good}

    def is_valid(self, order, server):
        step = order["Task"].rsplit(".", 1)[0]
        if step.split(".")[0] not in self.queued_jobs:
            return True
        ticket = self.tickets.get(order.get("Ticket"))
        return (ticket is not None and ticket[:2] == (step, server.name)
                and time.monotonic() < ticket[2])


class NoAdviser:
    def is_valid(self, order, server):
        return True


# --- the system and the platform around it ---


class Site:
    """Three control hosts, some entries, servers and the operator."""

    def __init__(self, record, entries=2, tolerated=1):
        self.record = record
        self.subnet = self.free_subnet()
        self.folder = tempfile.mkdtemp(prefix="sassafras-review-")
        self.control = {f"core-{n}": f"{self.subnet}.{n}" for n in (1, 2, 3)}
        self.entries = {f"front-{n}": f"{self.subnet}.{10 + n}"
                        for n in range(1, entries + 1)}
        self.tolerated = tolerated
        self.processes = {}
        self.first_start = True
        self.servers = {}
        self.adviser = NoAdviser()
        self.runs = []  # (server, run) of every start

    @staticmethod
    def free_subnet():
        for _ in range(100):
            subnet = f"127.{random.randint(40, 250)}.{random.randint(1, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{subnet}.1", CONTROL_PORT))
                    return subnet
                except OSError:
                    continue
        raise CannotRun("no free loopback addresses")

    def settings(self, name):
        """The fields of platform/settings.template, filled in."""
        is_control = name in self.control
        address = self.control[name] if is_control else self.entries[name]
        seeds = ",".join(f"{it}:{CONTROL_PORT}" for it in self.control.values())
        lines = ["[process]", f'name = "{name}"', 'zone = "zone-a"']
        if is_control:
            lines.append(f'data_folder = "{self.folder}/{name}"')
        lines += ["[http]", f'address = "{address}"', f"port = {METRICS_PORT}",
                  "[peer]", f'address = "{address}"', f"port = {PEER_PORT}",
                  "[cluster]", 'secret = "sassafrasbank-platform"',
                  f'seeds = "{seeds}"',
                  f"first_start = {'true' if self.first_start else 'false'}",
                  f"tolerated_losses = {self.tolerated}", "[jobs]"]
        if is_control:
            lines.append(f'control = "{address}:{CONTROL_PORT}"')
        else:
            lines += [f'callers = "{address}:{FRONT_PORT}"',
                      f'ready = "{address}:{READY_PORT}"']
        lines += [f'adviser = "{self.subnet}.200:{ADVISER_PORT}"',
                  f"max_lease_ms = {HOLD_MAX_MS}", "manifest_limit_ms = 2000",
                  "[grace]", "balancer_ms = 2300", "drain_ms = 2500",
                  "[timing]", "heartbeat_ms = 100", "election_timeout_ms = 600",
                  "[threads]", "traffic = 1"]
        return "\n".join(lines) + "\n"

    async def start_process(self, name):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(name))
        if name in self.control:
            os.makedirs(os.path.join(self.folder, name), exist_ok=True)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": self.folder,
                       "SASSAFRASBANK_SETTINGS": path}
        self.processes[name] = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, PROGRAM), cwd=ROOT, env=environment,
            stdout=log, stderr=log)
        log.close()
        self.record.write("process-start", process=name,
                          pid=self.processes[name].pid)

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(PROGRAM + " isn't built")
        for name in [*self.control, *self.entries]:
            await self.start_process(name)

    def signal(self, name, number):
        self.record.write("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def leader(self):
        """The name of the control host that leads, by its decision lines."""
        newest, found = -1, None
        for name in self.control:
            path = os.path.join(self.folder, name + ".log")
            with open(path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    if "decision=role role=3 " in line:
                        term = int(line.split("term=")[1].split()[0])
                        if term > newest:
                            newest, found = term, name
        return found

    def add_server(self, server):
        self.servers[server.name] = server
        return server

    async def put_manifest(self, manifest, limit_s=10):
        """Sends the manifest to one control host after another until it is
        acknowledged."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for name, address in self.control.items():
                answer = await call(address, CONTROL_PORT, "PUT", "/config", manifest, limit=2)
                self.record.write("manifest", to=name, version=manifest["Version"],
                                  answer=answer and answer[0])
                if answer and answer[0] == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("the manifest isn't acknowledged")

    async def request(self, entry, method, path, body=None, limit=3.0):
        """A caller's request. Returns the status and the body, or None."""
        answer = await call(self.entries[entry], FRONT_PORT, method, path, body,
                            {"Host": QUEUE_HOST,
                             "X-Deadline-Ms": str(int(limit * 1000))}, limit)
        self.record.write("request", entry=entry, method=method, path=path,
                          status=answer and answer[0], body=answer and answer[1])
        return answer

    async def await_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        waiting = set(self.entries)
        while waiting and time.monotonic() < end:
            for name in list(waiting):
                answer = await call(self.entries[name], READY_PORT, "GET", "/ready")
                if answer and answer[0] == 200:
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        if waiting:
            raise CannotRun(f"not ready: {sorted(waiting)}")

    async def stop(self):
        """Ends all processes and stand-ins, and removes the folder."""
        if isinstance(self.adviser, Adviser):
            self.adviser.http.stop()
        for server in self.servers.values():
            for task in server.tasks:
                task.cancel()
            server.http.stop()
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
            await process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name, prefix, service, advice=None):
    route = {"Name": name, "Host": QUEUE_HOST, "PathPrefix": prefix,
             "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
             "Priority": 1, "Service": service, "MaxAttempts": 3, "Stretch": 2.2}
    if advice:
        route["Advice"] = advice
    return route


def make_manifest(version, routes, services):
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 64,
                      "Protocol": "h1", "Tls": False, "AdmissionCheck": False,
                      "Spare": False} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def new_job_id():
    return f"{random.getrandbits(64):016x}"


def run_case(case, record_path):
    """Runs the coroutine `case(record)`, which returns whether the rule held.
    Returns the exit status: 0 held, 1 broken, 2 couldn't run, whatever the cause."""
    record = Record(record_path)

    async def bounded():
        return await asyncio.wait_for(case(record), 110)

    try:
        held = asyncio.run(bounded())
    except Exception as error:
        record.write("cannot-run", why=repr(error))
        return 2
    record.write("verdict", held=held)
    return 0 if held else 1
