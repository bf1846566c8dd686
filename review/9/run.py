"""LOST: a router freezes while a release brings the first endpoint of a new version; its resumable streams are lost."""
import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins2 import Caller, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")  # 0: no disturbance; "freeze" and "release": only that one
STREAMS = 24         # that the frozen router forwards
NEW_STREAMS = 24     # begun at the other routers while streams are taken up
MIN_TAKEN_UP = 12    # of the rule
FREEZE_S = 4.0
RELEASE_AFTER_S = 1.5  # from the freeze to the first endpoint of the new version


async def case(deployment):
    await deployment.start(events=170, interval_s=0.03)
    caller = Caller(deployment, deployment.record)
    await asyncio.sleep(8)
    running = [asyncio.create_task(caller.send(caller.new(1))) for _ in range(STREAMS)]
    await asyncio.sleep(1.0)
    if TROUBLE in ("1", "freeze"):
        deployment.signal(1, signal.SIGSTOP)

    async def release():
        """Two endpoints are replaced, one a second: the new one starts first, the old one drains and leaves."""
        for old in [endpoint for endpoint in list(deployment.endpoints.values()) if endpoint.stage == "decode"][:2]:
            new = deployment.add_endpoint("llm", stage="decode", version="v2", events=170, interval_s=0.03)
            await new.start()
            deployment.record("replaced", old=old.name, new=new.name, version=new.version)
            old.state = "draining"
            deployment.store.put("servers", old.name, old.entry())
            await asyncio.sleep(1)

    async def thaw():
        await asyncio.sleep(FREEZE_S)
        if TROUBLE in ("1", "freeze"):
            deployment.signal(1, signal.SIGCONT)

    async def begin_new(number):
        await asyncio.sleep(3.5 + 0.02 * number)
        return await caller.send(caller.new(2 + number % 4))

    async def take_up(task, number):
        first = await task
        last = first.last_id()
        if first.status != 200 or first.is_complete or last == 0:
            return None
        return await caller.send(caller.new(2 + number % 4, first=first, after=last, begin=first.begin))

    others = [asyncio.create_task(thaw())]
    new = [asyncio.create_task(begin_new(number)) for number in range(NEW_STREAMS)]
    taken = [asyncio.create_task(take_up(task, number)) for number, task in enumerate(running)]
    await asyncio.sleep(RELEASE_AFTER_S)
    if TROUBLE in ("1", "release"):
        others.append(asyncio.create_task(release()))
    taken = [stream for stream in await asyncio.gather(*taken) if stream]
    new = await asyncio.gather(*new)
    await asyncio.gather(*others)
    goes_on = sum(1 for stream in taken if stream.status == 200 and stream.events())
    begins = sum(1 for stream in new if stream.status == 200 and stream.events())
    deployment.record("summary", taken_up=len(taken), go_on=goes_on, new=len(new), begin=begins)
    print(f"taken up: {len(taken)}, go on: {goes_on}; new streams: {len(new)}, begin: {begins}")
    is_broken = len(taken) >= MIN_TAKEN_UP and goes_on / len(taken) < begins / len(new) / 2
    return not is_broken


run_case(FOLDER, case)
