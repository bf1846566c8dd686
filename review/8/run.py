"""LOST: after a drill of the store, the kill of one router loses the resumable streams that it forwards."""
import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins2 import CONTACT_S, Caller, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")  # 0: no disturbance; "kill" and "drill": only that one
STREAMS = 24           # that the killed router forwards
NEW_STREAMS = 24       # begun at the other routers at the time of the kill
MIN_TAKEN_UP = 12      # of the rule
AWAY_S, COPY_AGE_S = 1.0, 3.0
KILL_AFTER_S = 8.0     # from the store's return to the kill: all other machines are in touch again


async def case(deployment):
    await deployment.start(events=120, interval_s=0.03)
    caller = Caller(deployment, deployment.record)
    await asyncio.sleep(6)
    if TROUBLE in ("1", "drill"):
        deployment.record("the store is away", seconds=AWAY_S)
        deployment.store.leave()
        await asyncio.sleep(AWAY_S)
        deployment.store.come_back(COPY_AGE_S + AWAY_S)
        deployment.record("the store is back from a copy", age_s=COPY_AGE_S, era=deployment.store.era)
        deployment.store.put("op", "config", deployment.desired_state(1))
    await asyncio.sleep(KILL_AFTER_S)
    running = [asyncio.create_task(caller.send(caller.new(1))) for _ in range(STREAMS)]
    await asyncio.sleep(1.5)
    if TROUBLE in ("1", "kill"):
        deployment.signal(1, signal.SIGKILL)

    async def begin_new(number):
        await asyncio.sleep(0.02 * number)
        return await caller.send(caller.new(2 + number % 4))

    async def take_up(task, number):
        first = await task
        last = first.last_id()
        if first.status != 200 or first.is_complete or last == 0:
            return None
        return await caller.send(caller.new(2 + number % 4, first=first, after=last, begin=first.begin))

    new = [asyncio.create_task(begin_new(number)) for number in range(NEW_STREAMS)]
    taken = [asyncio.create_task(take_up(task, number)) for number, task in enumerate(running)]
    if TROUBLE in ("1", "kill"):
        await asyncio.sleep(1.0)
        deployment.start_router(1)
    taken = [stream for stream in await asyncio.gather(*taken) if stream]
    new = await asyncio.gather(*new)
    goes_on = sum(1 for stream in taken if stream.status == 200 and stream.events())
    begins = sum(1 for stream in new if stream.status == 200 and stream.events())
    share_on, share_new = goes_on / max(1, len(taken)), begins / len(new)
    deployment.record("summary", taken_up=len(taken), go_on=goes_on, new=len(new), begin=begins,
                      served_without=sum(task.result().is_complete for task in running))
    print(f"taken up: {len(taken)}, go on: {goes_on}; new streams: {len(new)}, begin: {begins}")
    is_broken = len(taken) >= MIN_TAKEN_UP and share_on < share_new / 2
    return not is_broken


run_case(FOLDER, case)
