"""A late copy of a start that was carried out long ago starts the task once more, while its next attempt
runs on another machine: the worker was told to clear the first attempt under the same token."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins2 import Site, Worker, now, request_once, run_case

JOB = "job-000300"


class CopyingWorker(Worker):
    """A worker whose network keeps copies of the direct commands that it has carried out."""

    async def handle(self, method, path, query, body):
        status, answer = await super().handle(method, path, query, body)
        if path == "/orders" and status == 200:
            self.copies = getattr(self, "copies", []) + [json.loads(body)]
        return status, answer


class FaultySite(Site):
    def ends_with(self, job, task, worker):
        # The first attempt fails after a second, as on a faulty machine.
        return "error" if task.stride.startswith(JOB) and task.heat == 1 else "done"

    def run_s(self, job, task):
        return 1.0 if task.stride.startswith(JOB) and task.heat == 1 else job["run_s"]


def owner_of(site, worker):
    """The controller that the state service has as the owner of the machine."""
    for key, (data, _, _) in site.state.keys.items():
        if key.startswith("block/") and worker.name in data["machines"]:
            return site.nodes[data["node"]]
    return None


async def scenario(site, trouble):
    import standins2

    standins2.Worker = CopyingWorker
    await site.start()
    site.cloud.capacity[("masso", "etna-nord", False)] = 2
    if not await site.until(lambda: len(site.healthy()) == 3, 20):
        return None, "not all controllers became healthy"
    # The usual load: a service that brings up two machines.
    service = site.job("job-000100", gait="daemon", rank="prod", herd="civico-live", stable="squadra-civici", run_s=0.0,
                       strides=2, cpus=40.0, ram_gb=30.0, breeds=["masso"], tack="img-live")
    if not await site.submit(service):
        return None, "the service was not accepted"
    if not await site.until(lambda: len(site.present(service["uid"])) == 2 and len(site.workers) == 2, 30):
        return None, "the service did not start"
    await asyncio.sleep(3.0)
    job = site.job(JOB, run_s=40.0, herd="strade-batch", stable="squadra-mappe", cpus=4.0, ram_gb=4.8, breeds=["masso"], tack="img-batch")
    if not await site.submit(job):
        return None, "the job was not accepted"
    second = lambda: any(s[1] == f"{JOB}/0" and s[2] == 2 for s in site.starts)
    if not await site.until(second, 20):
        return None, "the second attempt did not start"
    first = site.workers[next(s[3] for s in site.starts if s[1] == f"{JOB}/0" and s[2] == 1)]
    if not await site.until(lambda: (f"{JOB}/0", 1) not in first.tasks, 15):
        return None, "the first attempt was not cleared"
    if first.name in site.present(JOB).get(f"{JOB}/0", []):
        return None, "both attempts were placed on one machine"
    copy = next(
        (c for c in getattr(first, "copies", []) if {"call": "start", "stride": f"{JOB}/0", "heat": 1} in c["calls"]), None
    )
    if copy is None:
        return None, "the first attempt was not started by a direct command"
    if trouble:
        # The controller that owns the machines ends, and is back within a fraction of a second. A late
        # copy of its old message follows.
        node = owner_of(site, first)
        node.kill()
        await asyncio.sleep(0.2)
        site.record(f"a late copy of the direct command arrives at {first.name}: {copy}; its token now is {first.bridle}, its session {first.tenure}")
        answer = await request_once(first.addr, "POST", "/orders", copy, 3.0)
        site.record(f"{first.name} answers the copy: {answer}")
        await asyncio.sleep(0.2)
        node.start()
    for _ in range(6):
        await asyncio.sleep(2.0)
        await site.poll(JOB)
    twice = [b for b in site.broken if b.startswith("ran_twice")]
    if site.broken and not twice:
        return None, f"another rule was broken: {site.broken}"
    return bool(twice), twice[0] if twice else f"{JOB}/0 is on {site.present(JOB)}"


run_case(FaultySite, scenario)
