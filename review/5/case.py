"""Many small jobs of one team that is at its limit keep the jobs of all other teams from being placed,
although these lie within their team's guarantee and a machine has room for them."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins2 import Site, now, run_case

SWARM_TEAM, SWARM_LIMIT = "squadra-infra", 104.0
TEAM, GUARANTEE, LIMIT, WAIT_S = "squadra-mappe", 40.0, 72.0, 90.0
SWARM = 100


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
    site.cloud.capacity[("masso", "etna-nord", False)] = 2
    if not await site.until(lambda: len(site.healthy()) == 3, 20):
        return None, "not all controllers became healthy"
    # The usual load: a service that uses all that its team may use, on two machines.
    service = site.job("job-000100", gait="daemon", rank="prod", herd="civico-live", stable=SWARM_TEAM, run_s=0.0,
                       strides=26, cpus=4.0, ram_gb=3.7, breeds=["masso"], tack="img-live")
    if not await site.submit(service):
        return None, "the service was not accepted"
    if trouble:
        # One-task jobs of the same team come four a second, for 25 s. They have to wait for their team.
        accepted, tasks, first = [0], [], now()

        async def one(number):
            job = site.job(f"job-{200_000 + number:06d}", run_s=5.0, rank="urgent", herd="rettifiche-urgenti", stable=SWARM_TEAM,
                           cpus=4.0, ram_gb=6.9, breeds=["masso"], tack="img-fix")
            accepted[0] += await site.submit(job)

        for number in range(SWARM):
            await asyncio.sleep(max(0.0, first + number * 0.25 - now()))
            tasks.append(asyncio.create_task(one(number)))
        await asyncio.gather(*tasks)
        site.record(f"{accepted[0]} one-task jobs of {SWARM_TEAM} are accepted; the troubles are over")
        if accepted[0] < SWARM:
            return None, "not all jobs were accepted"
    if not await site.until(lambda: len(site.present(service["uid"])) == 26, 20):
        return None, "the service did not start"
    # A job of another team, well within that team's guarantee of 40 CPUs.
    job = site.job("job-000300", run_s=0.5, herd="strade-batch", stable=TEAM, cpus=4.0, ram_gb=4.8, breeds=["masso"], tack="img-batch")
    if not await site.submit(job):
        return None, "the job was not accepted"
    since = logged = now()
    while True:
        await asyncio.sleep(0.2)
        room = max([site.breeds[w.breed]["cpus"] - used_cpus(site, None, w) for w in site.workers.values()], default=0.0)
        if room < 4.0 or any(s[1].startswith(job["uid"]) for s in site.starts):
            since = now()
        if now() - logged > 5.0:
            logged = now()
            answer = await site.poll(job["uid"])
            site.record(
                f"{SWARM_TEAM} uses {used_cpus(site, SWARM_TEAM)} of {SWARM_LIMIT} CPUs, {TEAM} {used_cpus(site, TEAM)} of "
                f"{GUARANTEE} guaranteed; most free CPUs of a machine: {room}; {job['uid']} waits for {now() - since:.1f} s"
            )
            if site.broken:
                return None, f"another rule was broken: {site.broken}"
            if answer and answer[0] == 200 and answer[1]["stance"] == "done":
                return False, f"{job['uid']} is done"
        if now() - since > WAIT_S:
            return True, (
                f"{job['uid']} waits for {now() - since:.1f} s, its team uses {used_cpus(site, TEAM)} of {GUARANTEE} guaranteed CPUs, "
                f"and a machine has {room} CPUs free"
            )


run_case(Site, scenario, 118.5)
