"""One of eight servers crashes and starts again. A job whose task ran there may
run again on the server's new life only, and has to be started there."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
from installation import (Adviser, Server, Site, make_manifest, make_route,
                          new_job_id, run_case)

SERVICE = "planning"
SERVERS = 8
CORES = 16000
ADVICE = {"DecideMs": 140.0, "EachMs": 2.0, "ValidMs": 2000}
CRASH_S = 4.5    # `for_s` of srv_crash in the site file
FINISH_S = 14    # `finish_s` of the installation
IDLE_S = 3       # for so long nothing of the job may stand idle
WORK_S = 6.0     # of the batch job's task


def work_s(task_spec):
    return float(task_spec.split("=")[1])


async def case(record):
    site = Site(record)
    batch, lasting = new_job_id(), new_job_id()
    # The policy: the batch job may use the full server, the one that is to
    # crash, and the life that follows it.
    allowed = {"s1", "s8", "s8-again"}
    site.adviser = Adviser(site, ADVICE["DecideMs"], ADVICE["EachMs"],
                           ADVICE["ValidMs"], lambda step, name: name in allowed,
                           {batch})
    try:
        return await play(site, batch, lasting)
    finally:
        await site.stop()


async def play(site, batch, lasting):
    await site.adviser.http.start()
    await site.start()
    for n in range(1, SERVERS + 1):
        server = site.add_server(Server(site, f"s{n}", f"{site.subnet}.{100 + n}", SERVICE,
                                        work_s, kind="b" if n == 1 else "a"))
        await server.start()
    await site.put_manifest(make_manifest(
        1, [make_route("r-lasting", "/lasting/", SERVICE),
            make_route("r-batch", "/batch/", SERVICE, ADVICE)], [SERVICE]))
    await site.await_ready()
    await asyncio.sleep(3)

    # The lasting task takes all of s1, the only server with the label.
    await site.request("front-1", "POST", f"/lasting/{lasting}", {
        "TaskSpec": "work=inf", "Steps": [
            {"Count": 1, "Cpu": CORES, "MemMb": 1024, "EstimateMs": 1000,
             "LongRunning": True, "Requires": "b"}]})
    await asyncio.sleep(2)
    answer = await site.request("front-1", "POST", f"/batch/{batch}", {
        "TaskSpec": f"work={WORK_S}", "Steps": [
            {"Count": 1, "Cpu": 4000, "MemMb": 1024, "EstimateMs": 6000}]})
    accepted = answer and answer[0] == 200
    await asyncio.sleep(1.5)

    if os.environ.get("TROUBLE") != "0":
        crashed = site.servers["s8"]
        crashed.crash()
        await asyncio.sleep(CRASH_S)
        again = site.add_server(Server(site, "s8-again", crashed.address, SERVICE, work_s))
        await again.start()
    await asyncio.sleep(FINISH_S)
    return not accepted or await is_served(site, batch)


async def is_served(site, job):
    """Watches the job for IDLE_S. Its task needs a quarter of one server, and
    an eighth of the service's capacity is in use, so there is room for it."""
    end = time.monotonic() + IDLE_S
    while time.monotonic() < end:
        runs = [run for _, run in site.runs
                if run.task.startswith(job) and (run.end is None or run.how == "done")]
        if runs:
            return True
        await asyncio.sleep(0.1)
    await site.request("front-1", "GET", f"/batch/{job}")
    return False


if __name__ == "__main__":
    sys.exit(run_case(case, sys.argv[1]))
