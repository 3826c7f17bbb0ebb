#!/usr/bin/env python3
"""Looks for tasks with two runs at once: the real programs, and stand-in
workers that are cut off, restarted or lose answers.

    tests/soak/doubled_runs.py PROGRAM --shape kzb-sched --trouble cut:from
        [--seed N] [--seconds S] [--kill-ms K] [--folder F]

PROGRAM is a built sassafras-jobd. Troubles, separated by commas:
    cut:both|to|from|refuse  some workers are cut off (see Worker)
    reborn:MODE              the same, and they start again behind the cut
    reboot[:quiet]           some crash and start again under the same id;
                             quiet: their first heartbeat is late
    recut[:X]                some crash, start again under the same id and are
                             cut off soon after; a share X (0.5) of the calls
                             around that gets no answer and is carried out
                             later, by whichever life of the worker is up then
    lose:close|STATUS        starts are carried out and not answered, or so
    stop:leader|any          a control host is stopped and goes on
    kill:leader|any          a control host is killed and starts again

Prints one line for each pair of runs that overlap, or of which the later began
although the worker had been told to forget that the earlier was done, and a
summary, and exits 1 if there was any. The stand-ins are those of
review/standins; this file adds what a process on a network of its own does:
several processes of stand-ins, clocks that differ, and a kill that takes time.
The seed doesn't fix the timing of processes.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import multiprocessing
import os
import random
import signal
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
import installation as inst  # noqa: E402


@dataclasses.dataclass(frozen=True)
class Shape:
    """What the sheet of a deployment says."""

    control: int
    entries: int
    workers: int
    hold_max_ms: int
    stop_ms: int
    tolerated: int = 1


SHAPES = {
    "small": Shape(3, 2, 15, 6000, 900),
    "kzb-sched": Shape(3, 9, 48, 6000, 900),
    "kzb-sched-grown": Shape(5, 35, 350, 6000, 900, 2),
    "lyp-tallinn": Shape(3, 8, 48, 10000, 200),
}
WORKERS_PER_PROCESS = 50
CALLER_PATIENCE_S = 2.0
LATENESS_S = (0.2, 6.0)  # of calls that are carried out late
LEADER_NAME = "leader"


class Worker(inst.Server):
    """A worker behind a network of its own. `cut_mode` is empty, `both` (no
    call passes), `to` (calls to it are lost), `from` (its answers and
    heartbeats are lost) or `refuse` (connections to it are refused)."""

    def __init__(self, site, name, address, options, rng):
        super().__init__(site, name, address, "batch", lambda spec: float(spec))
        self.options = options
        self.rate = rng.choice((1.0, 0.99, 0.981))
        self.cut_mode = ""
        self.healed = asyncio.Event()
        self.healed.set()
        self.lost_answers = ""
        self.late_share = 0.0  # of the calls that come in
        self.lapsed_at = 0.0  # when the lease was last seen expired
        self.first_beat_s = 0.0  # after its start
        self.rng = rng

    async def start(self):
        self.finished = {}  # (task, run) to Run, of this boot
        await super().start()

    async def beat(self):
        await asyncio.sleep(self.rng.uniform(0, self.first_beat_s))
        await super().beat()

    def clock(self):
        return int((time.monotonic() - self.boot.begin) * 1000 * self.rate) + 1000

    def begin_cut(self, mode):
        self.cut_mode = mode
        self.cut = mode in ("both", "from", "refuse")
        self.healed.clear()
        self.site.record.write("cut", server=self.name, mode=mode)
        if mode == "refuse":
            self.http.stop()

    async def end_cut(self):
        if self.cut_mode == "refuse":
            await self.http.start()
        self.cut_mode, self.cut = "", False
        self.site.record.write("healed", server=self.name)
        self.healed.set()

    async def handle(self, method, path, headers, body):
        mode, boot = self.cut_mode, self.boot
        if self.rng.random() < self.late_share:
            asyncio.create_task(self.carry_out_late(method, path, headers, body))
            await asyncio.sleep(CALLER_PATIENCE_S)
            raise OSError("the caller has given up")
        if mode in ("both", "to"):
            # The bytes wait in the network and arrive when it has healed.
            await self.healed.wait()
            if self.boot is boot and self.options.late:
                await super().handle(method, path, headers, body)
            raise OSError("the caller has given up")
        answer = await super().handle(method, path, headers, body)
        if self.cut_mode in ("both", "from"):
            await self.healed.wait()
            raise OSError("the caller has given up")
        how = self.lost_answers
        if how and path == "/run-start" and self.rng.random() < 0.3:
            if how == "close":
                raise OSError("the answer is lost")
            return int(how), {}
        return answer

    async def carry_out_late(self, method, path, headers, body):
        await asyncio.sleep(self.rng.uniform(*LATENESS_S))
        if not self.boot:
            return
        self.site.record.write("late", server=self.name, path=path, body=body)
        try:
            await super().handle(method, path, headers, body)
        except OSError as error:  # The boot has ended meanwhile.
            self.site.record.write("late-failed", server=self.name, why=error)

    async def hold(self, order):
        # An end counts as taken note of unless the lease has expired since.
        for row in self.boot.ended:
            run = self.finished[(row[1], row[2])]
            if row[0] <= order.get("AckCursor", 0) and self.lapsed_at < run.end:
                run.is_noted = True
        return await super().hold(order)

    def finish(self, run, how, listed=True):
        self.finished[(run.task, run.number)] = run
        super().finish(run, how, listed)

    async def watch(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.clock() >= self.boot.lease_until:
                self.lapsed_at = now
            if self.clock() >= self.boot.lease_until and self.boot.running:
                await asyncio.sleep(self.options.kill_ms / 1000)
                for run in list(self.boot.running.values()):
                    self.finish(run, "lapsed")
            for run in list(self.boot.running.values()):
                if now >= run.begin + run.work_s:
                    self.finish(run, "done")

    def run_stop(self, order):
        boot, key = self.boot, (order["Task"], order["Run"])
        boot.highest[key[0]] = max(boot.highest.get(key[0], 0), key[1])
        run = boot.running.get(key)
        if run:
            async def end():
                await asyncio.sleep(self.options.stop_s * self.rng.random())
                if self.boot is boot and key in boot.running:
                    self.finish(run, "stopped")
            self.tasks.append(asyncio.create_task(end()))
        return 200, {"ClockMs": self.clock()}


@dataclasses.dataclass
class WorkerOptions:
    kill_ms: float
    stop_s: float
    late: bool


async def recut(worker, late_share, options, rng):
    """The worker is back under its id and is cut off soon after."""
    worker.late_share = late_share
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    worker.crash()
    await asyncio.sleep(rng.uniform(0.1, 0.6))
    await worker.start()
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    worker.late_share = 0.0
    worker.begin_cut("both")
    await asyncio.sleep(rng.uniform(*options.cut_s))
    await worker.end_cut()


async def trouble_workers(workers, kind, mode, options, rng, end):
    """Begins the trouble on some workers again and again."""
    if kind == "lose":
        for it in workers:
            it.lost_answers = mode
        return
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(1.0, 2.0))
        chosen = [it for it in workers if rng.random() < options.share
                  and it.boot and not it.cut_mode]
        if kind in ("cut", "reborn"):
            for it in chosen:
                it.begin_cut(mode)
                if kind == "reborn":  # it starts again behind the cut
                    it.crash()
                    await it.start()
            await asyncio.sleep(rng.uniform(*options.cut_s))
            for it in chosen:
                await it.end_cut()
        elif kind == "recut":
            await asyncio.gather(*(recut(it, float(mode or 0.5), options, rng)
                                   for it in chosen))
        elif kind == "reboot":
            for it in chosen:
                it.crash()
                it.first_beat_s = 1.5 if mode == "quiet" else 0.0
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                await it.start()


def run_workers(site_fields, names, options, seed, trouble, files):
    """The body of one process of stand-ins."""
    rng = random.Random(seed)
    random.seed(seed)
    record = inst.Record(files[0])
    record.begin = 0.0  # the record tells the clock of the machine

    async def body():
        site = inst.Site.__new__(inst.Site)
        site.record, site.runs, site.servers = record, [], {}
        site.control, site.adviser = site_fields, inst.NoAdviser()
        workers = [Worker(site, name, address, WorkerOptions(
            options.kill_ms, options.shape.stop_ms / 1000, options.late), rng)
            for name, address in names]
        for it in workers:
            await it.start()
        begin = time.monotonic()
        end = begin + options.seconds
        await asyncio.sleep(2.0)
        tasks = []
        for part in trouble.split(","):
            kind, _, mode = part.partition(":")
            if kind in ("cut", "reborn", "reboot", "recut", "lose"):
                tasks.append(asyncio.create_task(trouble_workers(
                    workers, kind, mode, options, rng, end)))
        await asyncio.sleep(end + 6 - time.monotonic())
        with open(files[1], "w", encoding="utf-8") as file:
            for server, run in site.runs:
                json.dump([run.task, run.number, server.name, run.begin,
                           run.end, run.how, getattr(run, "is_noted", False)], file)
                file.write("\n")
        os._exit(0)

    asyncio.run(body())


class SoakSite(inst.Site):
    def __init__(self, record, shape):
        super().__init__(record, shape.entries, shape.tolerated)
        self.control = {f"core-{n}": f"{self.subnet}.{n}"
                        for n in range(1, shape.control + 1)}
        self.entries = {f"front-{n}": f"{self.subnet}.{50 + n}"
                        for n in range(1, shape.entries + 1)}

    def settings(self, name):
        text = super().settings(name)
        seeds = [f"{it}:{inst.CONTROL_PORT}" for it in self.control.values()]
        return text.replace(",".join(seeds), ",".join(seeds[:3]))


def worker_address(subnet, number):
    first, second, third = subnet.split(".")
    return f"{first}.{second}.{(int(third) + 1 + number // 200) % 254 + 1}.{number % 200 + 1}"


async def trouble_hosts(site, kind, mode, rng, end):
    """Stops or kills a control host again and again: the leader, or any."""
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(4.0, 7.0))
        name = rng.choice(list(site.control))
        if mode == LEADER_NAME:
            name = await site.leader() or name
        if kind == "stop":
            site.signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(1.0, 6.0))
            site.signal(name, signal.SIGCONT)
        elif kind == "kill":
            site.signal(name, signal.SIGKILL)
            await asyncio.sleep(rng.uniform(0.2, 3.5))
            await site.start_process(name)


async def submit_jobs(site, options, rng, end):
    """Keeps about half of the workers' room busy."""
    mean_s = sum(options.work_s) / 2
    pause = mean_s * 3 / (options.shape.workers * 4 * 0.5)
    open_jobs = set()
    while time.monotonic() < end:
        await asyncio.sleep(pause)
        job = inst.new_job_id()
        work = round(rng.uniform(*options.work_s), 2)
        body = {"TaskSpec": str(work), "Steps": [
            {"Count": rng.randint(1, 5), "Cpu": 4000, "MemMb": 256,
             "EstimateMs": int(work * 1000)}]}
        entry = rng.choice(list(site.entries))
        task = asyncio.create_task(
            site.request(entry, "POST", f"/soak/{job}", body))
        open_jobs.add(task)
        task.add_done_callback(open_jobs.discard)


def find_doubled(runs):
    """Returns pairs of runs of one task that overlap, or of which the later began
    after the earlier was done and noted; the earlier one first."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run[0]].append(run)
    pairs = []
    for group in by_task.values():
        group.sort(key=lambda it: it[3])
        for n, later in enumerate(group):
            for earlier in group[:n]:
                is_done = earlier[5:] == ["done", True]
                if earlier[4] is None or earlier[4] > later[3] or is_done:
                    pairs.append((earlier, later))
    return pairs


async def soak(options):
    shape = options.shape
    rng = random.Random(options.seed)
    random.seed(options.seed * 7919 + os.getpid())
    inst.PROGRAM = os.path.abspath(options.program)
    inst.HOLD_MAX_MS, inst.STOP_MS = shape.hold_max_ms, shape.stop_ms
    record = inst.Record(os.path.join(options.folder, "site.txt"))
    record.begin = 0.0
    site = SoakSite(record, shape)
    children = []
    try:
        await site.start()
        route = inst.make_route("r-soak", "/soak/", "batch")
        manifest = inst.make_manifest(1, [route], ["batch"])
        await site.put_manifest(manifest)
        names = [(f"i-{n:04d}", worker_address(site.subnet, n))
                 for n in range(shape.workers)]
        for n in range(0, len(names), WORKERS_PER_PROCESS):
            files = [os.path.join(options.folder, f"workers-{n}.{end}")
                     for end in ("txt", "runs")]
            child = multiprocessing.Process(target=run_workers, args=(
                site.control, names[n:n + WORKERS_PER_PROCESS], options,
                options.seed * 1000 + n, options.trouble, files))
            child.start()
            children.append((child, files))
        await site.await_ready(30)
        end = time.monotonic() + options.seconds
        tasks = [submit_jobs(site, options, rng, end)]
        for part in options.trouble.split(","):
            kind, _, mode = part.partition(":")
            if kind in ("stop", "kill"):
                tasks.append(trouble_hosts(site, kind, mode, rng, end))
        await asyncio.gather(*tasks)
        runs = []
        for child, files in children:
            while child.is_alive():
                await asyncio.sleep(0.1)
            with open(files[1], encoding="utf-8") as file:
                runs += [json.loads(line) for line in file]
        return runs, site.folder
    finally:
        for child, _ in children:
            child.kill()
        os.environ["KEEP"] = "1"
        await site.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--shape", choices=SHAPES, default="small")
    parser.add_argument("--trouble", default="cut:both")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--share", type=float, default=0.17)
    parser.add_argument("--cut-s", type=float, nargs=2, default=(5.0, 6.0))
    parser.add_argument("--work-s", type=float, nargs=2, default=(0.2, 12.0))
    parser.add_argument("--kill-ms", type=float, default=0)
    parser.add_argument("--late", action="store_true",
                        help="calls lost on the way are carried out later")
    parser.add_argument("--folder", help="keeps the records here")
    options = parser.parse_args()
    options.shape = SHAPES[options.shape]
    options.folder = options.folder or os.path.join(
        os.environ.get("TMPDIR", "/tmp"), f"doubled-{os.getpid()}")
    os.makedirs(options.folder, exist_ok=True)
    runs, logs = asyncio.run(soak(options))
    pairs = find_doubled(runs)
    for earlier, later in pairs:
        over_ms = (min(earlier[4] or 1e12, later[4] or 1e12) - later[3]) * 1000
        print(f"doubled {over_ms:8.1f} ms at {later[3]:.3f}: {earlier} and {later}")
    doubled = {(later[0], later[1]) for _, later in pairs}
    print(f"{len(doubled)} of {len(runs)} runs began beside another run of their "
          f"task; shape and trouble {sys.argv[2:]}; logs {logs} {options.folder}")
    sys.exit(1 if pairs else 0)


if __name__ == "__main__":
    main()
