"""A stand-in for a minion: starts, stops, leases, ends and heartbeats, as PROTOCOL tells them.

Runs in the script's process, with a listening socket of its own. What the pages leave open it
does as a sound server: a run that is being stopped is listed as running until its end is listed.
"""

import http.server
import json
import random
import socketserver
import threading
import time



class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class RunLog:
    """All runs of all minions, as the minions see them."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.running = {}    # task -> set of (worker, run)
        self.doubled = []    # (task, runs)
        self.starts = []     # (time, task, run, worker)
        self.ends = []       # (time, task, run, worker, how)

    def on_start(self, task, run, worker):
        with self.lock:
            runs = self.running.setdefault(task, set())
            runs.add((worker, run))
            self.starts.append((time.monotonic(), task, run, worker))
            if len(runs) > 1:
                self.doubled.append((task, sorted(runs)))
        self.record.line("minion    %s starts %s run %d" % (worker, task, run))

    def on_end(self, task, run, worker, how):
        with self.lock:
            self.running.get(task, set()).discard((worker, run))
            self.ends.append((time.monotonic(), task, run, worker, how))
        self.record.line("minion    %s ends %s run %d %s" % (worker, task, run, how))


class Worker:
    """One machine's minion. Each boot is a life of it."""

    def __init__(self, deployment, log, number, service, cpu=16000, mem_mb=32768, gpu=0,
                 work_s=lambda task, spec: 1.0, stop_s=0.1, hold_max_ms=6000, beat_s=1.5,
                 outcome=lambda task, run: "done", labels=("a", "r1-1")):
        self.site, self.log, self.service = deployment, log, service
        self.address = deployment.subnet + str(100 + number)
        self.id = "i-%08x" % random.getrandbits(32)
        self.capacity = {"Cpu": cpu, "MemMb": mem_mb, "Gpu": gpu}
        self.work_s, self.stop_s, self.hold_max_ms, self.beat_s = work_s, stop_s, hold_max_ms, beat_s
        self.outcome = outcome
        self.labels = list(labels)
        self.lock = threading.Condition()
        self.is_up = False
        self.state = "ready"
        self.beat_address = None
        self.known = False
        self.hooks = {}          # path -> function(order, handler) -> True if it has answered
        self.server = None
        deployment.servers.append(self)

    # --- life ---

    def boot(self, new_id=False, first_beat_s=0.0):
        with self.lock:
            if new_id:
                self.id = "i-%08x" % random.getrandbits(32)
            self.born_at = time.monotonic()
            self.born_ms = int(time.time() * 1000)
            self.fence = 0
            self.running = {}        # (task, run) -> dict
            self.highest = {}        # task -> highest run stopped or ended here
            self.ended = []
            self.last_end = 0
            self.until_ms = 0
            self.sequence = 0
            self.state = "ready"
            self.is_up = True
            self.life = object()
        life = self.life
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                self.reply(200, {})

            def do_POST(self):
                raw = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                if worker.life is not life or not worker.is_up:
                    self.close_connection = True
                    return
                worker.on_call(self, self.path, self.headers, raw)

            def reply(self, status, body):
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                    self.wfile.flush()
                except OSError:
                    self.close_connection = True

            def setup(self):
                super().setup()
                with worker.lock:
                    worker.connections.add(self.connection)

            def finish(self):
                with worker.lock:
                    worker.connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

        self.connections = set()
        self.server = _Server((self.address, 8080), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        threading.Thread(target=self.live, args=(life,), daemon=True).start()
        threading.Thread(target=self.beat, args=(life, first_beat_s), daemon=True).start()

    def crash(self):
        """Ends at once: nothing runs here any more, and nothing is known."""
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            self.life = None
            runs = list(self.running)
            self.running = {}
            open_connections = list(self.connections)
        self.server.shutdown()
        self.server.server_close()
        for connection in open_connections:
            try:
                connection.close()
            except OSError:
                pass
        self.site.record.line("minion    %s crashes" % self.id)
        for task, run in runs:
            self.log.on_end(task, run, self.id, "crashed")

    def close(self):
        self.crash()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def body(self):
        return {"ClockMs": self.clock_ms(), "born": self.born_ms}

    def send_beat(self):
        with self.lock:
            self.sequence += 1
            beat = {"Service": self.service, "Address": self.address + ":8080",
                    "Zone": "tbilisi-a", "Version": "v1", "Slots": 8, "State": self.state,
                    "ColdLeftMs": 0, "Capacity": self.capacity, "Labels": self.labels,
                    "Sequence": self.sequence, **self.body()}
        targets = [it.address for it in self.site.cores]
        random.shuffle(targets)
        if self.beat_address:
            targets.insert(0, self.beat_address.rsplit(":", 1)[0])
        for address in targets:
            status, answer = self.site.call(address, 8144, "PUT", "/instances/" + self.id, beat,
                                            timeout=1.0)
            if status // 100 == 2:
                self.beat_address = (answer or {}).get("BeatAddr")
                self.known = True
                return True
            self.beat_address = None
        return False

    def beat(self, life, first_beat_s):
        time.sleep(first_beat_s)
        while self.life is life:
            self.send_beat()
            time.sleep(self.beat_s if self.known else 0.3)

    def live(self, life):
        while self.life is life:
            with self.lock:
                at = time.monotonic()
                if self.clock_ms() >= self.until_ms:
                    for run in self.running.values():
                        self.begin_end(run, "lapsed")
                for key, run in list(self.running.items()):
                    if run["ends_at"] is not None:
                        if at >= run["ends_at"]:
                            self.end(key, run["how"])
                    elif at >= run["done_at"]:
                        self.end(key, self.outcome(*key))
                self.lock.notify_all()
            time.sleep(0.01)

    def begin_end(self, run, how):
        if run["ends_at"] is None:
            run["ends_at"] = time.monotonic() + self.stop_s
            run["how"] = how

    def end(self, key, how):
        del self.running[key]
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.log.on_end(key[0], key[1], self.id, how)

    # --- calls ---

    def on_call(self, handler, path, headers, raw):
        order = json.loads(raw)
        hook = self.hooks.get(path)
        if hook is not None and hook(order, handler):
            return
        if headers.get("X-Expect-Instance") not in (None, self.id):
            handler.reply(421, {})
            return
        handler.reply(*self.answer(path, order))

    def answer(self, path, order):
        with self.lock:
            fence = order.get("Fence", 0)
            if fence < self.fence:
                return 409, {**self.body(), "Reason": "fence"}
            self.fence = fence
            if "UntilMs" in order:
                until = min(order["UntilMs"], self.clock_ms() + self.hold_max_ms)
                if path == "/hold":
                    self.until_ms = max(self.until_ms, until)
            if path == "/run-start":
                return self.start(order)
            if path == "/run-stop":
                key = (order["Task"], order["Run"])
                if key in self.running:
                    self.begin_end(self.running[key], "stopped")
                self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
                return 200, self.body()
            if path == "/pace":
                return 200, self.body()
            if path != "/hold":
                return 404, {}
            self.ended = [it for it in self.ended if it[0] > order.get("AckCursor", 0)]
            until = time.monotonic() + order.get("WaitMs", 0) / 1000.0
            while self.is_up and not self.ended and time.monotonic() < until:
                self.lock.wait(0.02)
            running = []
            for (task, run), it in self.running.items():
                share = (time.monotonic() - it["began"]) / max(it["work_s"], 0.001)
                running.append([task, run, "", max(0, min(99, int(100 * share))), 0])
            return 200, {**self.body(), "Running": running, "Ended": self.ended[:500]}

    def start(self, order):
        task, run = order["Task"], order["Run"]
        if (task, run) in self.running:
            return 200, self.body()
        if run <= self.highest.get(task, 0):
            self.until_ms = max(self.until_ms, min(order["UntilMs"], self.clock_ms() + self.hold_max_ms))
            return 409, {**self.body(), "Reason": "old"}
        if order["UntilMs"] <= self.clock_ms():
            return 409, {**self.body(), "Reason": "late"}
        self.until_ms = max(self.until_ms, min(order["UntilMs"], self.clock_ms() + self.hold_max_ms))
        work_s = self.work_s(task, order["TaskSpec"])
        self.running[(task, run)] = {"began": time.monotonic(), "work_s": work_s,
                                     "done_at": time.monotonic() + work_s,
                                     "ends_at": None, "how": ""}
        self.log.on_start(task, run, self.id)
        return 200, self.body()
