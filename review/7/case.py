"""A repeat of one commit that was carried out makes the leader count a machine that never comes: no
further machine is rented, and an accepted job never runs although the cloud has machines."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins2 import Site, now, run_case

JOB = "job-000300"


async def scenario(site, trouble):
    await site.start()
    site.cloud.capacity[("masso", "etna-nord", False)] = 4
    if not await site.until(lambda: len(site.healthy()) == 3, 20):
        return None, "not all controllers became healthy"
    carried_out = []

    def keep(caller, transaction):
        if any(change.get("set", "").startswith("rent/") for change in transaction.get("then", [])):
            carried_out.append((caller, transaction))
        return None

    site.state.on_commit = keep
    service = site.job("job-000100", gait="daemon", rank="prod", herd="civico-live", stable="squadra-civici", run_s=0.0,
                       cpus=4.0, ram_gb=3.7, breeds=["masso"], tack="img-live")
    if not await site.submit(service) or not await site.until(lambda: site.present(service["uid"]), 30):
        return None, "the service did not start"
    site.state.on_commit = None
    await asyncio.sleep(3.0)
    if trouble:
        # The leading controller ends, and is back within a fraction of a second. A repeat of a commit of
        # its ended process follows, which was carried out some seconds ago.
        caller, transaction = carried_out[-1]
        node = site.nodes[caller]
        node.kill()
        await asyncio.sleep(0.2)
        answer = await site.state.commit(caller, transaction)
        site.record(f"a repeat of a commit of {caller} arrives: {transaction} -> {answer}")
        await asyncio.sleep(0.2)
        node.start()
        await asyncio.sleep(6.0)
    job = site.job(JOB, run_s=1.0, herd="strade-batch", stable="squadra-qualita", cpus=64.0, ram_gb=64.0, breeds=["masso"], tack="img-batch")
    if not await site.submit(job):
        return None, "the job was not accepted"
    accepted = now()
    while now() - accepted < 95.0:
        await asyncio.sleep(5.0)
        answer = await site.poll(JOB)
        left = site.cloud.capacity[("masso", "etna-nord", False)]
        site.record(f"{JOB} waits for {now() - accepted:.0f} s; machines rented {site.cloud.last}, which the cloud still has {left}; repeated requests for them {site.cloud.repeats}")
        if answer and answer[0] == 200 and answer[1]["stance"] == "done":
            return False, f"{JOB} is done"
    if site.broken:
        return None, f"another rule was broken: {site.broken}"
    return True, f"{JOB} has not begun {now() - accepted:.0f} s after it was accepted; the cloud has {left} machines that fit; it was asked {site.cloud.repeats} times for the one that it had given before, and for no other"


run_case(Site, scenario)
