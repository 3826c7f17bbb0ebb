"""The operator sends a manifest that was saved as ISO 8859-1, so that its JSON
can't be read, and repeats it until it gets a clear answer."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
from installation import (CONTROL_PORT, Server, Site, call, make_manifest,
                          make_route, new_job_id, run_case)

SERVICE = "planning"
RESTART_S = 1.0  # the platform starts a process again after a short delay
MOST_ENDS = 3    # of one machine's processes by themselves
DAY_S = 40       # from the first send of the manifest
CLEAR = {400, 409, 412, 413, 422}  # answers that end a call at once


async def keep_running(site, name, ends):
    """Starts the process again each time that it ends by itself."""
    while True:
        process = site.processes[name]
        await process.wait()
        ends[name] += 1
        site.record.write("ended-by-itself", process=name, status=process.returncode,
                          times=ends[name])
        await asyncio.sleep(RESTART_S)
        await site.start_process(name)


async def send_manifest(site, data, until):
    """The operator's call: to one node after the other, with an increasing
    pause, until one answers clearly."""
    pause, n = 0.2, 0
    names = list(site.control)
    while time.monotonic() < until:
        name = names[n % len(names)]
        n += 1
        answer = await call(site.control[name], CONTROL_PORT, "PUT", "/config", data)
        site.record.write("manifest", to=name, answer=answer and answer[0])
        if answer and (answer[0] // 100 == 2 or answer[0] in CLEAR):
            return
        await asyncio.sleep(pause)
        pause = min(2 * pause, 2.0)


async def submit_jobs(site, until):
    """A caller that hands in a small job each second."""
    while time.monotonic() < until:
        await site.request("front-1", "POST", f"/plan/{new_job_id()}", {
            "TaskSpec": "work=0.5", "Steps": [
                {"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimateMs": 500}]})
        await asyncio.sleep(1)


async def case(record):
    site = Site(record)
    ends = dict.fromkeys(site.control, 0)
    keepers = []
    try:
        await site.start()
        for n in (1, 2, 3):
            server = site.add_server(Server(site, f"s{n}", f"{site.subnet}.{100 + n}",
                                            SERVICE, lambda spec: float(spec[5:])))
            await server.start()
        await site.put_manifest(make_manifest(
            1, [make_route("r-plan", "/plan/", SERVICE)], [SERVICE]))
        await site.await_ready()
        await asyncio.sleep(3)
        keepers = [asyncio.create_task(keep_running(site, name, ends)) for name in ends]

        text = json.dumps(make_manifest(
            2, [make_route("r-plan", "/plan/", SERVICE),
                make_route("r-järjekord", "/new/", SERVICE)], [SERVICE]),
            ensure_ascii=False)
        encoding = "utf-8" if os.environ.get("TROUBLE") == "0" else "iso-8859-1"
        until = time.monotonic() + DAY_S
        await asyncio.gather(send_manifest(site, text.encode(encoding), until),
                             submit_jobs(site, until))
        failing = [name for name, times in ends.items() if times >= MOST_ENDS]
        record.write("ends", **ends)
        return 2 * len(failing) < len(ends)
    finally:
        for keeper in keepers:
            keeper.cancel()
        await site.stop()


if __name__ == "__main__":
    sys.exit(run_case(case, sys.argv[1]))
