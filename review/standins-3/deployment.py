"""A small deployment of the job queues for the review's scripts.

Starts control hosts and entries with the commands of the deploy file, on
loopback addresses of their own, with settings rendered from the template that
the deploy file names. Standard library only.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

CALLER_PORT = 8149
READY_PORT = 8141
CONTROL_PORT = 8144
PEER_PORT = 7380
METRICS_PORT = 7381
WORKER_PORT = 8080

# The sheet of the small deployment: kzb-sched.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "DowngradeSlackMs": 250, "MaxStretchMs": 5000, "RecoveryS": 12, "HoldMaxMs": 6000,
    "StopMs": 900, "GangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "FarX": 2, "SaveS": 1,
    "RestoreMs": 100, "NoticeMs": 4500, "MoveS": 1.5, "UpkeepS": 2,
    "RequireFencing": False, "LeaseMs": 3000, "ThawSlackMs": 300, "PaceMs": 100,
    "HarmMs": 4000,
}
CORE_MEMORY_MB = 256
FRONT_MEMORY_MB = 260


def now():
    return time.monotonic()


def free_subnet():
    """Returns the beginning of addresses in 127.0.0.0/8 that nobody listens at."""
    while True:
        subnet = "127.%d.%d." % (random.randint(60, 250), random.randint(1, 250))
        with socket.socket() as probe:
            probe.settimeout(0.2)
            try:
                probe.bind((subnet + "1", CONTROL_PORT))
            except OSError:
                continue
        return subnet


def render(template, fields):
    """Fills in a settings template as the platform does: values, sections, inverted sections."""
    def find(name, scopes):
        for scope in scopes:
            value, found = scope, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(it) for it in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def fill(part, scopes, current):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def on_section(match):
            kind, name, body = match.groups()
            value = find(name, scopes)
            absent = value is None or value is False or value == "" or value == []
            if kind == "^":
                return fill(body, scopes, current) if absent else ""
            if absent:
                return ""
            if isinstance(value, list):
                return "".join(fill(body, [it] + scopes, it) for it in value)
            return fill(body, scopes, value)

        part = section.sub(on_section, part)

        def on_value(match):
            name, _, as_json = match.group(1).partition("|")
            value = current if name == "." else find(name, scopes)
            return json.dumps(value) if as_json == "json" else text(value)

        return re.sub(r"\{\{([^#^/}][^}]*)\}\}", on_value, part)

    return fill(template, [fields], fields)


class Record:
    """record.txt: what was sent, answered and run. Thread-safe. Of lines that begin with the
    same word, the first LIMIT are written and the others counted."""

    LIMIT = 1500

    def __init__(self, path):
        self.counts = {}
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.began = now()

    def line(self, text):
        word = text.split(" ", 1)[0]
        with self.lock:
            self.counts[word] = self.counts.get(word, 0) + 1
            if self.counts[word] > self.LIMIT:
                return
            self.file.write("%8.3f  %s\n" % (now() - self.began, text))
            self.file.flush()


class Host:
    """A machine with one process of the system."""

    def __init__(self, site, name, role, address, memory_mb):
        self.site, self.name, self.role, self.address = site, name, role, address
        self.memory_mb = memory_mb
        self.process = None
        self.first_start = True
        self.boots = 0
        self.peak_mb = 0.0

    def start(self):
        site = self.site
        is_front = self.role["on"] == "front"
        fields = {
            "NodeName": self.name, "Role": "entry" if is_front else "control",
            "MachineClass": self.role["on"], "Serves": self.role["serves"],
            "Ip": self.address, "Zone": "tbilisi-a", "Region": "tbilisi",
            "InternalPorts": [PEER_PORT, PEER_PORT + 15],
            "Seeds": site.seeds, "Bootstrap": self.first_start,
            "CountsAsLoss": not is_front, "Discovery": "registry", "Entry": "vip",
            "HeartbeatMs": 1500, "config_mode": "highest", "Orders": "request",
            "Advice": site.adviser,
            "Zones": {"tbilisi-a": "tbilisi"},
            "Limits": {"CpuShare": 0.25 if is_front else 0.5, "Cores": 1,
                       "MemoryMb": self.memory_mb, "MaxFds": 4096, "LinkMbps": 1000.0,
                       "DiskMb": 0 if is_front else 128},
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS, "Cloud": {"Address": "", "Duties": []},
        }
        if is_front:
            fields["Listen"] = {"Front": "%s:%d" % (self.address, CALLER_PORT),
                                "Ready": "%s:%d" % (self.address, READY_PORT)}
        else:
            fields["Listen"] = {"Control": "%s:%d" % (self.address, CONTROL_PORT)}
            fields["DataDir"] = os.path.join(site.folder, self.name)
        with open(os.path.join(ROOT, self.role["template"])) as file:
            settings = render(file.read(), fields)
        path = os.path.join(site.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(settings)
        self.boots += 1
        self.first_start = False
        log = open(os.path.join(site.folder, "%s.%d.log" % (self.name, self.boots)), "w")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["SASSAFRASBANK_SETTINGS"] = path
        self.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment,
                                        stdout=log, stderr=subprocess.STDOUT)
        log.close()
        site.record.line("platform  starts %s (pid %d)" % (self.name, self.process.pid))

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.site.record.line("platform  sends %s to %s" % (
                signal.Signals(number).name, self.name))
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def memory_now_mb(self):
        """Resident memory of the process, without file pages that it maps."""
        try:
            with open("/proc/%d/statm" % self.process.pid) as file:
                numbers = file.read().split()
        except (OSError, ValueError):
            return 0.0
        mb = (int(numbers[1]) - int(numbers[2])) * PAGE_BYTES / 1048576 if len(numbers) > 2 else 0.0
        self.peak_mb = max(self.peak_mb, mb)
        return mb

    def logs(self):
        text = ""
        for boot in range(1, self.boots + 1):
            with open(os.path.join(self.site.folder, "%s.%d.log" % (self.name, boot)),
                      errors="replace") as file:
                text += file.read()
        return text


class Site:
    """Three control hosts and some entries."""

    def __init__(self, record, entries=1, cores=3):
        self.record = record
        self.subnet = free_subnet()
        self.folder = tempfile.mkdtemp(prefix="sassafras-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"].values()
        by_class = {role["on"]: role for role in roles}
        self.host_name = "fleet.example"
        self.adviser = self.subnet + "100:8142"
        self.cores = [Host(self, "core-%d" % (n + 1), by_class["core"],
                           self.subnet + str(n + 1), CORE_MEMORY_MB) for n in range(cores)]
        self.entries = [Host(self, "front-%d" % (n + 1), by_class["front"],
                             self.subnet + str(n + 21), FRONT_MEMORY_MB) for n in range(entries)]
        self.seeds = ["%s:%d" % (it.address, CONTROL_PORT) for it in self.cores[:3]]
        self.servers = []

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()

    def hosts(self):
        return self.cores + self.entries

    def start(self):
        for host in self.hosts():
            host.start()

    def close(self):
        for server in self.servers:
            server.close()
        for host in self.hosts():
            if host.is_running():
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP"):
            print("kept " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- calls ---

    def call(self, address, port, method, path, body=None, headers=None, timeout=5.0):
        """Returns (status, decoded body); status 0 if no answer came."""
        connection = http.client.HTTPConnection(address, port, timeout=timeout)
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, {"Content-Type": "application/json",
                                                    **(headers or {})})
            response = connection.getresponse()
            raw = response.read()
            try:
                return response.status, json.loads(raw) if raw else None
            except ValueError:
                return response.status, None
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()

    def request(self, method, path, body=None, entry=None, deadline_ms=3000, note=None):
        """A requester's call, without retries."""
        entry = entry or random.choice(self.entries)
        headers = {"Host": self.host_name, "X-Deadline-Ms": str(deadline_ms)}
        status, answer = self.call(entry.address, CALLER_PORT, method, path, body, headers,
                                   deadline_ms / 1000.0)
        self.record.line("requester %s %s at %s -> %d %s%s" % (
            method, path, entry.name, status, json.dumps(answer) if answer else "",
            "  (%s)" % note if note else ""))
        return status, answer

    def submit(self, path, job, attempts=5, deadline_ms=3000, note=None):
        """Hands a job in, and again at any entry after no response, a 502 or a 504."""
        status = 0
        for _ in range(attempts):
            status, _answer = self.request("POST", path, job, deadline_ms=deadline_ms, note=note)
            if status not in (0, 502, 504):
                break
            time.sleep(0.1)
        return status

    def put_manifest(self, manifest, limit_s=30.0, host=None):
        """The operator's call, sent again until it is accepted."""
        until = now() + limit_s
        while now() < until:
            target = host or random.choice(self.cores)
            status, _ = self.call(target.address, CONTROL_PORT, "PUT", "/config", manifest)
            self.record.line("operator  PUT /config version %d at %s -> %d" % (
                manifest["Version"], target.name, status))
            if status == 200:
                return True
            time.sleep(0.3)
        return False

    def await_ready(self, limit_s=30.0):
        until = now() + limit_s
        while now() < until:
            if all(self.call(it.address, READY_PORT, "GET", "/ready", timeout=1.0)[0] == 200
                   for it in self.entries):
                return True
            time.sleep(0.1)
        return False

    def leader_changes(self):
        """How many terms had a leader, by the logs."""
        pattern = re.compile(r"decision=role role=3 term=(\d+)")
        return len({term for host in self.cores for term in pattern.findall(host.logs())})

    def leader(self):
        """The control host that wrote last that it leads, by its log; for choosing whom to disturb."""
        best, best_term = None, -1
        pattern = re.compile(r"decision=role role=(\d+) term=(\d+)")
        for host in self.cores:
            if not host.is_running():
                continue
            found = pattern.findall(host.logs())
            if found and found[-1][0] == "3" and int(found[-1][1]) > best_term:
                best, best_term = host, int(found[-1][1])
        return best


class Platform:
    """Watches the processes as the platform does: one above its memory is killed, and each that
    has ended is started again after a short delay."""

    RESTART_DELAY_S = 0.5

    def __init__(self, site, period_s=0.005):
        self.site = site
        self.over = []      # (time, host name, MB)
        self.ended = []     # (time, host name, status)
        self.stopped = threading.Event()
        self.period_s = period_s
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        restart_at = {}
        while not self.stopped.wait(self.period_s):
            for host in self.site.hosts():
                if host.process is None:
                    continue
                if not host.is_running():
                    if host.name not in restart_at:
                        self.site.record.line("platform  %s has ended (%s)" % (
                            host.name, host.process.returncode))
                        self.ended.append((now(), host.name, host.process.returncode))
                        restart_at[host.name] = now() + self.RESTART_DELAY_S
                    elif now() >= restart_at[host.name]:
                        del restart_at[host.name]
                        host.start()
                    continue
                mb = host.memory_now_mb()
                if mb > host.memory_mb:
                    self.over.append((now(), host.name, mb))
                    self.site.record.line("platform  %s uses %.0f MB of %d MB and is killed" % (
                        host.name, mb, host.memory_mb))
                    host.process.kill()
                    host.process.wait()

    def close(self):
        self.stopped.set()
        self.thread.join()

    def breaks_fault_rule(self):
        """RULES, Fault: on half of the core, processes end by themselves three times in the day;
        memory over the limit counts."""
        times = [sum(1 for _, name, _ in self.over if name == host.name)
                 for host in self.site.cores]
        return 2 * sum(1 for it in times if it >= 3) >= len(times)

    def peaks(self):
        return ", ".join("%s %.0f MB" % (it.name, it.peak_mb) for it in self.site.hosts())


class Traffic:
    """Ordinary requesters: a small job each `gap_s`, handed in again as the pages allow."""

    JOB = {"TaskSpec": "ordinary", "Steps": [
        {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimateMs": 300}]}

    def __init__(self, site, prefix, gap_s=0.5):
        self.site, self.prefix, self.gap_s = site, prefix, gap_s
        self.results = []     # (time sent, id, final status)
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.threads = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(self.gap_s):
            thread = threading.Thread(target=self.one, daemon=True)
            thread.start()
            self.threads.append(thread)

    def one(self):
        sent, job = now(), job_id()
        status = self.site.submit(self.prefix + job, self.JOB, attempts=5, note="ordinary")
        with self.lock:
            self.results.append((sent, job, status))

    def stop(self):
        self.stopped.set()
        self.thread.join()
        for thread in self.threads:
            thread.join(20)

    def accepted(self):
        with self.lock:
            return [job for _, job, status in self.results if status // 100 == 2]

    def served_share(self, since):
        with self.lock:
            late = [status for sent, _, status in self.results if sent >= since]
        return len(late), sum(1 for status in late if status // 100 == 2)

    def ask(self, jobs, attempts=5):
        """Asks for each job's state. Returns those that got none, and those not completed."""
        unanswered, unfinished = [], []

        def one(job):
            for _ in range(attempts):
                status, answer = self.site.request("GET", self.prefix + job, note="at the end")
                if status == 200 and answer:
                    if answer.get("State") != "completed":
                        unfinished.append((job, answer.get("State")))
                    return
                if status == 410:
                    break
                time.sleep(0.2)
            unanswered.append(job)

        threads = [threading.Thread(target=one, args=(it,), daemon=True) for it in jobs]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(40)
        return unanswered, unfinished


def run_case(main):
    """Runs `main(record)` of a case and exits with its result, or with 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda *unused: sys.exit(2))
    try:
        status = main(record)
    except Exception as error:  # the case couldn't run
        record.line("the case couldn't run: %r" % (error,))
        print("the case couldn't run: %r" % (error,))
        status = 2
    sys.stdout.flush()
    os._exit(status)


def check(condition, text):
    if not condition:
        raise RuntimeError(text)


def route(name, prefix, service, host, **more):
    return {"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "unsafe",
            "TimeoutMs": 3000, "TargetLatencyMs": 3000, "Priority": 1, "Service": service,
            "MaxAttempts": 4, "Stretch": 4.0, **more}


def manifest(version, routes, services):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": it, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
                          "Tls": False, "AdmissionCheck": False, "Spare": False}
                         for it in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


def job_id():
    return "%016x" % random.getrandbits(64)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def finish(record, broken, text):
    omitted = {word: count - Record.LIMIT for word, count in record.counts.items()
               if count > Record.LIMIT}
    if omitted:
        record.line("lines left out: %s" % omitted)
    record.line(("BROKEN: " if broken else "held: ") + text)
    print(("broken: " if broken else "held: ") + text)
    sys.stdout.flush()
    return 1 if broken else 0
