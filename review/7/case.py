"""Replicas for which the cloud has no machine count as if they used their team's quota: another job
of the team waits for ever, although a machine has room for it and the team is under its limit."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins2 import Site, now, run_case

TEAM, LIMIT, WAIT_S = "squadra-mappe", 72.0, 90.0


def used_cpus(site, team=None, worker=None):
    """CPUs that tasks use, those that wait for their image counted."""
    jobs = [
        site.jobs[task.stride.split("/")[0]]
        for w in site.workers.values() if worker in (None, w)
        for task in w.tasks.values() if task.stance != "exited"
    ]
    return sum(job["cpus"] for job in jobs if team in (None, job["stable"]))


async def scenario(site, trouble):
    await site.start()
    for zone in ("etna-nord", "conca-doro"):
        site.cloud.capacity[("masso", zone, False)] = 1
    if not await site.until(lambda: len(site.healthy()) == 3, 20):
        return None, "not all controllers became healthy"
    # The usual load: a service of six replicas in conca-doro, and one of another team in etna-nord.
    # The trouble: the class of the first comes three times as often for a moment.
    live = [
        site.job(f"job-00010{number}", gait="daemon", rank="prod", herd="civico-live", stable=TEAM, run_s=0.0,
                 strides=6, cpus=4.0, ram_gb=3.7, paddock="conca-doro", tack="img-live")
        for number in range(3 if trouble else 1)
    ]
    other = site.job("job-000200", gait="daemon", rank="prod", herd="civico-live", stable="squadra-civici", run_s=0.0,
                     cpus=32.0, ram_gb=30.0, paddock="etna-nord", tack="img-other")
    for job in live + [other]:
        if not await site.submit(job):
            return None, f"{job['uid']} was not accepted"
    replicas = 16 if trouble else 6  # as many as fit on the one machine that the cloud has in conca-doro
    placed = lambda: sum(len(site.present(j["uid"])) for j in live) == replicas and site.present(other["uid"])
    if not await site.until(placed, 30):
        return None, "the services did not start"
    await asyncio.sleep(2.0)
    # An urgent correction run of two tasks of 4 CPUs, for half a second.
    urgent = site.job("job-000300", run_s=0.5, rank="urgent", herd="rettifiche-urgenti", stable=TEAM, strides=2, cpus=4.0,
                      ram_gb=6.9, paddock="etna-nord", tack="img-fix", post_s=60.0)
    if not await site.submit(urgent):
        return None, "the urgent job was not accepted"
    since = logged = now()
    while True:
        await asyncio.sleep(0.25)
        room = any(
            w.paddock == "etna-nord" and site.breeds[w.breed]["cpus"] - used_cpus(site, None, w) >= 8.0
            for w in site.workers.values()
        )
        used = used_cpus(site, TEAM)
        # Only time counts in which both tasks wait, a machine has room and the limit admits both.
        if any(s[1].startswith(urgent["uid"]) for s in site.starts) or not room or used + 8.0 > LIMIT:
            since = now()
        if now() - logged > 5.0:
            logged = now()
            answer = await site.poll(urgent["uid"])
            site.record(f"{TEAM} uses {used} of {LIMIT} CPUs; room in etna-nord: {room}; {urgent['uid']} waits for {now() - since:.1f} s")
            if site.broken:
                return None, f"another rule was broken: {site.broken}"
            if answer and answer[0] == 200 and answer[1]["stance"] == "done":
                return False, f"{urgent['uid']} is done"
        if now() - since > WAIT_S:
            return True, f"{urgent['uid']} waits for {now() - since:.1f} s with room, {TEAM} uses {used} of {LIMIT} CPUs"


run_case(Site, scenario)
