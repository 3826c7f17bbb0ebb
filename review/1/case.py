"""The leader's machine freezes for four seconds and wakes again. Its process has
to go on, as a leader or not. Callers hand in small jobs all the time."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
from installation import (CONTROL_PORT, Server, Site, call, make_manifest,
                          make_route, new_job_id, run_case)

SERVICE = "booking"
SERVERS = 8
FREEZE_S = 4.0    # `for_s` of node_freeze in the site file
RECOVERY_S = 12   # `RecoveryS` of the installation
WATCH_S = 15
MOST_USED_S = 5.0  # processor time in WATCH_S; an idle host uses some 0.3 s
JOBS_PER_S = 8
STEP = {"Count": 2, "Cpu": 1500, "MemMb": 2800, "EstimateMs": 700}


async def hand_in_jobs(site):
    """A caller that hands in small jobs, without regard to the answers."""
    requests = []
    while True:
        entry = f"front-{1 + len(requests) % 2}"
        requests.append(asyncio.create_task(site.request(
            entry, "POST", f"/seat/{new_job_id()}",
            {"TaskSpec": "work=0.7", "Steps": [STEP]})))
        await asyncio.sleep(1 / JOBS_PER_S)


def processor_s(process):
    """Processor time that the process has used."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def hands_back_the_processor(site, watched):
    """Asks each control host for the manifest, for WATCH_S. A host that answers
    nothing, not even 503, and computes all the while is stuck."""
    before = {name: processor_s(site.processes[name]) for name in site.control}
    answers = dict.fromkeys(site.control, 0)
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        for name, address in site.control.items():
            if await call(address, CONTROL_PORT, "GET", "/config", limit=2):
                answers[name] += 1
        await asyncio.sleep(0.5)
    for name in site.control:
        site.record.write("host", name=name, answers=answers[name],
                          processor_s=round(processor_s(site.processes[name])
                                            - before[name], 2))
    used = processor_s(site.processes[watched]) - before[watched]
    return answers[watched] > 0 or used < MOST_USED_S


async def case(record):
    site = Site(record)
    callers = None
    try:
        await site.start()
        for n in range(1, SERVERS + 1):
            server = site.add_server(Server(site, f"s{n}", f"{site.subnet}.{100 + n}",
                                            SERVICE, lambda spec: float(spec[5:])))
            await server.start()
        await site.put_manifest(make_manifest(
            1, [make_route("r-seat", "/seat/", SERVICE)], [SERVICE]))
        await site.await_ready()
        await asyncio.sleep(3)
        callers = asyncio.create_task(hand_in_jobs(site))
        await asyncio.sleep(5)
        leader = await site.leader()
        if os.environ.get("TROUBLE") != "0":
            site.signal(leader, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            site.signal(leader, signal.SIGCONT)
        await asyncio.sleep(RECOVERY_S)
        return await hands_back_the_processor(site, leader)
    finally:
        if callers:
            callers.cancel()
        await site.stop()


if __name__ == "__main__":
    sys.exit(run_case(case, sys.argv[1]))
