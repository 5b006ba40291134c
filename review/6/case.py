"""Two waiting gangs of one team block each other's quota for ever, although the limit has room."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins2 import Site, now, run_case

TEAM = "squadra-api"  # 24 CPUs guaranteed, 48 CPUs at most
LIMIT = 48.0
WAIT_S = 90.0
ZONES = ["etna-nord", "etna-sud", "conca-doro"]
# Replicas of 4 CPUs of the class civico-live, one job for each zone.
REPLICAS = {"etna-nord": 3, "etna-sud": 3, "conca-doro": 4}


def gang(site, uid, zone, tasks, run_s):
    """A job of the class confini-gang: tasks of 1 CPU, in one zone, saves every 20 s."""
    return site.job(
        uid, run_s=run_s, herd="confini-gang", gait="group", stable=TEAM, strides=tasks, cpus=1.0, ram_gb=1.6,
        paddock=zone, same_place=True, rest_s=20.0, saddle_s=1.0, tack="img-gang",
    )


def used_cpus(site, team=None, worker=None):
    """CPUs that tasks use, those that wait for their image or their gang counted."""
    jobs = [
        site.jobs[task.stride.split("/")[0]]
        for w in site.workers.values() if worker in (None, w)
        for task in w.tasks.values() if task.stance != "exited"
    ]
    return sum(job["cpus"] for job in jobs if team in (None, job["stable"]))


def room(site, job):
    """Whether one machine that fits has room for the whole gang, and the team's limit admits it."""
    needed = job["cpus"] * job["strides"]
    has_room = any(
        w.paddock == job["paddock"] and site.breeds[w.breed]["cpus"] - used_cpus(site, None, w) >= needed
        for w in site.workers.values()
    )
    return has_room and used_cpus(site, TEAM) + needed <= LIMIT


async def scenario(site, trouble):
    await site.start()
    for zone in ZONES:
        site.cloud.capacity[("masso", zone, False)] = 1
    if not await site.until(lambda: len(site.healthy()) == 3, 20):
        return None, "not all controllers became healthy"
    # The usual load: one job of the class civico-live. The trouble: that class comes three times as
    # often for a moment. With the first two gangs the team then uses all of its 48 CPUs.
    jobs = [
        site.job(f"job-00010{number}", gait="daemon", rank="prod", herd="civico-live", stable=TEAM, run_s=0.0,
                 strides=REPLICAS[zone], cpus=4.0, ram_gb=3.7, paddock=zone, tack="img-live")
        for number, zone in enumerate(ZONES if trouble else ZONES[:1])
    ]
    # Replicas of another team, so that each zone has a machine without the trouble as well.
    jobs += [
        site.job(f"job-00020{number}", gait="daemon", rank="prod", run_s=0.0, stable="squadra-civici",
                 cpus=32.0, paddock=zone, tack="img-other")
        for number, zone in enumerate(ZONES)
    ]
    first = [gang(site, f"job-00030{n}", zone, 4, 8.0) for n, zone in enumerate(ZONES[:2])]
    second = [gang(site, f"job-00040{n}", zone, 6, 3.0) for n, zone in enumerate(ZONES[:2])]
    for job in jobs + first:
        if not await site.submit(job):
            return None, f"{job['uid']} was not accepted"
    if not await site.until(lambda: all(len(site.present(j["uid"])) == j["strides"] for j in jobs + first), 30):
        return None, "the first jobs did not start"
    site.record(f"team {TEAM} uses {used_cpus(site, TEAM)} of {LIMIT} CPUs")
    for job in second:
        if not await site.submit(job):
            return None, f"{job['uid']} was not accepted"
    since = {job["uid"]: now() for job in second}
    done, polled = set(), now()
    while len(done) < len(second):
        await asyncio.sleep(0.25)
        for job in second:
            # Only time counts in which the whole gang waits, a machine has room and the limit admits it.
            if not room(site, job) or any(s[1].startswith(job["uid"]) for s in site.starts):
                since[job["uid"]] = now()
        if now() - polled > 5.0:
            polled = now()
            for job in second:
                answer = await site.poll(job["uid"])
                if answer and answer[0] == 200 and answer[1]["stance"] == "done":
                    done.add(job["uid"])
            waits = {uid: round(now() - t, 1) for uid, t in since.items()}
            site.record(f"{TEAM} uses {used_cpus(site, TEAM)} of {LIMIT} CPUs; waiting with room: {waits}")
            if site.broken:
                return None, f"another rule was broken: {site.broken}"
            late = {uid: wait for uid, wait in waits.items() if wait > WAIT_S and uid not in done}
            if late:
                return True, f"left waiting with room and quota, in seconds: {late}"
    return False, f"done: {sorted(done)}"


run_case(Site, scenario)
