"""A late answer to a watch brings a removed record back, and an accepted job never runs."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from deployment import AREAS, SCHEGGIA, SETTINGS  # noqa: E402
from standins import CannotRun, World, job, main  # noqa: E402

LATE_S = 0.4
WAIT_S = 90.0


async def scenario(record, trouble):
    capacity = {
        ("scheggia", zone, spot): 5 for zone in SCHEGGIA["paddocks"] for spot in (False, True)
    }
    world = World(record, SETTINGS, AREAS, [SCHEGGIA], capacity, boot_s=1.5)
    late = []

    def follow_delay(node, events, held):
        """Makes one answer late: the leader's watch, when it shows the first rental request."""
        has_request = any(event.get("set", "").startswith("rent/") for event in events)
        if not trouble or late or not held or not has_request or node != world.leader():
            return 0.0
        late.append(node)
        record("state service", f"the answer to a watch of {node} takes {LATE_S} s: {events}")
        return LATE_S

    world.state.follow_delay = follow_delay
    try:
        await world.start()
        await asyncio.sleep(2.0)
        await world.submit(job("job-000001"))
        for _ in range(40):
            await asyncio.sleep(0.5)
            if world.started("job-000001"):
                break
        else:
            raise CannotRun("the first job did not start")
        await asyncio.sleep(2.0)
        accepted = await world.submit(job("job-000002"))
        while record.now() < accepted + WAIT_S and not world.started("job-000002"):
            await asyncio.sleep(1.0)
            if int(record.now()) % 5 == 0:
                await world.poll("job-000002")
        if not world.started("job-000002"):
            free = sum(world.cloud.capacity.values())
            asked = [name for at, name in world.cloud.asked if at >= accepted]
            return (
                f"job-000002 was accepted and has not run {WAIT_S:.0f} s later; the cloud has "
                f"{free} machines to give and was asked {len(asked)} times since, under the "
                f"names {sorted(set(asked))}"
            )
        return None
    finally:
        await world.stop()


main(FOLDER, scenario)
