"""Jobs wait for a lost server that alone may run them. The count of the queue
must tell at least half of those that no server has begun."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import deployment as dep  # noqa: E402

SERVERS = 7       # one of them is 0.143 of the service: below the dose of 0.15
JOBS = 6
JOB_PAUSE_S = 0.1
SILENT_FOR_S = 14.0
PREFIX = "/map/"
VISIBLE_S = 3.0 + 2.0  # visible_ms + 2 s, as in the rule
LATER_S = 2.0          # the count may be that old


class SilentServer(dep.Server):
    """May go dark: its connections stay, and nothing comes from it."""

    is_dark = False

    async def beat(self):
        return False if self.is_dark else await super().beat()

    async def handle(self, method, path, headers, body):
        return None if self.is_dark else await super().handle(method, path, headers, body)


async def body(site, trouble):
    route = dep.make_route("r-map", PREFIX, "planning", attempts=2)
    await site.start(dep.make_manifest(1, [route], ["planning"]))
    for n in range(SERVERS):
        kind = "b" if n == 0 else "a"
        server = SilentServer(site, f"i-{n}", f"{site.net}.{100 + n}", "planning",
                              [kind, f"r{n // 3}"], {"Cpu": 16000, "MemMb": 32768, "Gpu": 0})
        await server.start()
    await asyncio.sleep(3)
    only = site.servers[0]
    if trouble:
        only.is_dark = True
        site.record.write("dark", server=only.name)
    accepted = {}
    for _ in range(JOBS):
        job = await site.submit(PREFIX, dep.make_job(0.7, Requires="b"))
        accepted[job] = time.monotonic()
        await asyncio.sleep(JOB_PAUSE_S)

    is_broken = False
    end = time.monotonic() + SILENT_FOR_S
    while time.monotonic() < end:
        asked = time.monotonic()
        status, value = await site.request("GET", PREFIX)
        begun = {run.task.split(".")[0] for run in site.runs}
        waiting = [it for it, at in accepted.items()
                   if it not in begun and asked - at > VISIBLE_S + LATER_S]
        if status == 200:
            site.record.write("count", told=value["Waiting"], wait_longer=len(waiting))
            is_broken |= 2 * value["Waiting"] < len(waiting)
        await asyncio.sleep(0.5)
    if trouble:  # its machine is back, and the jobs can run
        only.end_process()
        only.is_dark = False
        await only.start()

    async def all_completed():
        states = [await site.state(PREFIX, it) for it in accepted]
        return all(it == "completed" for it in states)
    await site.wait("all jobs are completed", all_completed, 20, 1.0)
    return not is_broken


dep.run_case(os.path.join(HERE, "record.txt"), body)
