"""A replica of a spread service that lost its cheap machine is never placed again, although another
machine has room: its owner always chooses a machine in the zone that the job may not use."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins2 import Site, now, run_case

WAIT_S = 90.0
SERVICE, TEAM, LIMIT = "job-000100", "squadra-infra", 104.0


def machines(site, paddock, breed):
    return [w for w in site.workers.values() if (w.paddock, w.breed) == (paddock, breed)]


def used(site, worker):
    jobs = [site.jobs[t.stride.split("/")[0]] for t in worker.tasks.values() if t.stance != "exited"]
    return sum(job["cpus"] for job in jobs)


def shard_owners(site, worker):
    """The controllers that the state service has as owners of the machine, for the record only."""
    blocks = [v[0] for k, v in site.state.keys.items() if k.startswith("block/")]
    return {b["node"] for b in blocks if worker.name in b["machines"]}


def may_run(site):
    """The machines on which the missing replica may run now: of its type, with room, not announced
    as taken back, and in a zone that has none of the job's two tasks."""
    zones = {site.workers[m].paddock for places in site.present(SERVICE).values() for m in places if m in site.workers}
    return [
        w.name for w in site.workers.values()
        if w.breed == "masso" and w.paddock not in zones and w.recall is None
        and site.breeds["masso"]["cpus"] - used(site, w) >= 4.0
    ]


async def scenario(site, trouble):
    await site.start()
    site.cloud.capacity = {
        ("masso", "etna-nord", False): 1, ("masso", "conca-doro", True): 2, ("scheggia", "etna-sud", False): 2,
    }
    if not await site.until(lambda: len(site.healthy()) == 3, 20):
        return None, "not all controllers became healthy"
    service = site.job(SERVICE, gait="daemon", rank="prod", herd="civico-live", stable=TEAM, run_s=0.0, strides=2,
                       cpus=4.0, ram_gb=3.7, spread=True, loaners=True, breeds=["masso"], tack="img-live", pull_gb=0.3)
    small = site.job("job-000101", gait="daemon", rank="prod", herd="civico-live", stable="squadra-civici", run_s=0.0,
                     strides=2, cpus=4.0, ram_gb=3.7, breeds=["scheggia"], paddock="etna-sud", tack="img-small")
    # There is more work than room: this job needs a whole machine that the cloud doesn't have.
    more = site.job("job-000201", run_s=30.0, stable="squadra-qualita", cpus=64.0, ram_gb=64.0, breeds=["masso"],
                    paddock="etna-sud", tack="img-batch")
    # A batch job that fills a whole machine brings up the second cheap machine, and ends.
    batch = site.job("job-000200", run_s=0.5, stable="squadra-qualita", cpus=64.0, ram_gb=64.0, loaners=True,
                     breeds=["masso"], paddock="conca-doro", tack="img-batch")
    for job in (service, small, more):
        if not await site.submit(job):
            return None, f"{job['uid']} was not accepted"
    on_cheap = lambda: any(used(site, w) > 0 for w in machines(site, "conca-doro", "masso"))
    if not await site.until(on_cheap, 20) or not await site.submit(batch):
        return None, "the service did not start"
    ready = lambda: (
        len(site.present(SERVICE)) == 2 and len(site.present("job-000101")) == 2
        and any(e[1] == "job-000200/0" for e in site.ends)
    )
    if not await site.until(ready, 20):
        return None, f"the services or the batch job did not start: {site.present(SERVICE)}"
    if trouble:
        # The controller of conca-doro crashes; it is back 5 s later.
        node = site.nodes["stallhand-2"]
        node.kill()
        await asyncio.sleep(5.0)
        node.start()
        # The cloud takes back the cheap machine that runs a replica, with half the usual notice.
        taken = next(w for w in machines(site, "conca-doro", "masso") if used(site, w) > 0)
        site.record(f"the cloud announces that it takes back {taken.name} in 6 s; owner {shard_owners(site, taken)}")
        taken.recall = 6.0
        taken.changed.set()
        announced = now()
        while now() - announced < 6.0:
            await asyncio.sleep(0.1)
            taken.recall = max(0.0, 6.0 - (now() - announced))
        pool = (taken.breed, taken.paddock, taken.loaners)
        site.cloud.remove(taken.name)
        site.cloud.capacity[pool] -= 1
        site.record(f"the cloud has taken back {taken.name}; the troubles are over")
    since, logged = now(), now()
    while now() < 117.0:
        await asyncio.sleep(0.25)
        missing = 2 - len(site.present(SERVICE))
        fits = may_run(site)
        if missing == 0 or not fits:
            since = now()
        if now() - logged > 5.0:
            logged = now()
            await site.poll(SERVICE)
            owners = {w.name: sorted(shard_owners(site, w)) for w in site.workers.values()}
            site.record(f"missing replicas: {missing} for {now() - since:.1f} s; machines that fit with room: {fits}; owners {owners}")
        if now() - since > WAIT_S:
            return True, f"a replica of {SERVICE} waits for {now() - since:.1f} s while {fits} fits and has room"
    if site.broken:
        return None, f"another rule was broken: {site.broken}"
    return False, f"replicas on machines: {site.present(SERVICE)}"


run_case(Site, scenario, 118.5)
