"""One request for a recurring job whose times are all due: does every process stay within its
memory, and are ordinary jobs still answered?"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))

from deployment import (Platform, Site, Traffic, check, finish, job_id, manifest, now, route,
                        run_case, trouble)
from worker import RunLog, Worker

TRAFFIC_S = 60
FINISH_S = 14


def recurring():
    """Inside the limits of the pages: 170 bytes. Its first time lies an hour back."""
    first_ms = int(time.time() * 1000) - 3_600_000
    if trouble():
        return {"TaskSpec": "hourly", "RepeatCount": 1_000_000, "StartAtMs": first_ms,
                "IntervalMs": 1, "Steps": [
                    {"Count": 10_000, "Cpu": 500, "MemMb": 64, "EstimateMs": 900}]}
    return {"TaskSpec": "hourly", "RepeatCount": 4, "StartAtMs": first_ms, "IntervalMs": 1000,
            "Steps": [{"Count": 6, "Cpu": 500, "MemMb": 64, "EstimateMs": 900}]}


def main(record):
    with Site(record, entries=2) as site:
        site.start()
        check(site.put_manifest(manifest(1, [route("r-a", "/a/", "booking", site.host_name)],
                                         ["booking"])), "no manifest was accepted")
        check(site.await_ready(), "the entries aren't ready")
        log = RunLog(record)
        for number in range(1, 5):
            Worker(site, log, number, "booking", work_s=lambda *unused: 0.3).boot()
        time.sleep(3)
        platform = Platform(site)
        traffic = Traffic(site, "/a/")
        time.sleep(5)
        status = site.submit("/a/" + job_id(), recurring(), note="recurring")
        sent_at = now()
        time.sleep(TRAFFIC_S - 5)
        traffic.stop()
        time.sleep(FINISH_S)
        accepted = traffic.accepted()
        unanswered, unfinished = traffic.ask(accepted)
        platform.close()
        sent, served = traffic.served_share(sent_at + 25)
        cores_over = {name for _, name, _ in platform.over if name.startswith("core")}
        text = ("the recurring job was answered %d; memory peaks: %s; %d kills for memory on %d of "
                "3 control hosts, %d of %d ordinary jobs sent from 25 s after it accepted; of %d "
                "accepted ordinary jobs %d got no state at the end and %d aren't completed" % (
                    status, platform.peaks(), len(platform.over), len(cores_over), served, sent,
                    len(accepted), len(unanswered), len(unfinished)))
        check(accepted, "no ordinary job was accepted")
        return finish(record, platform.breaks_fault_rule() or bool(unanswered), text)


run_case(main)
