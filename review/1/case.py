"""The store comes back from a copy some seconds old. Seconds later a runner's entry is removed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
from standins import (DRAIN_S, STABLE_WINDOW_S, Runner, Store, addresses, configuration, main, route,
                      start_entries, stop_entries)

ZONES = ["wro-a", "wro-a", "wro-a", "wro-b", "opole-c"]
COPY_AGE_S = 8.0
AWAY_S = 0.5
ROUND_S = 3.5


async def send_round(entries, record, number):
    """Each client sends a few requests at once: six to each entry."""
    sends = [entry.send("POST", f"/status/{index}", f"{number:04x}{entry.name[-1]}{index:x}", record)
             for entry in entries for index in range(6)]
    return await asyncio.gather(*sends)


async def send_rounds(entries, record):
    number = 0
    while True:
        asyncio.create_task(send_round(entries, record, number))
        number += 1
        await asyncio.sleep(ROUND_S)


async def case(record, folder, with_trouble):
    ip = addresses(1)[0]
    store = Store(ip)
    await store.http.start()
    runners = [Runner(ip, "case-api", zone, store, record) for zone in ZONES[2:]]
    # The model runners get no requests here, but their heartbeats move the store's revision.
    models = [Runner(ip, "llm-pool", zone, store, record) for zone in ZONES[2:] * 4]
    await store.write("op/config", configuration(7, [route("status", "unsafe", "case-api")],
                                                 ["case-api", "llm-pool"]))
    for runner in runners + models:
        await runner.start()
    entries = await start_entries(ZONES, folder, store)
    try:
        await asyncio.sleep(2)
        traffic = asyncio.create_task(send_rounds(entries, record))
        copy = store.copy()
        record.note(f"store    a copy is made at revision {store.revision}")
        await asyncio.sleep(COPY_AGE_S)
        if with_trouble:
            record.note(f"store    away at revision {store.revision}")
            await store.go_away()
            await asyncio.sleep(AWAY_S)
            await store.come_back(copy)
            record.note(f"store    back from the copy, revision {store.revision}, era {store.era}")
            for runner in runners + models:
                await runner.register("ready")
        else:
            await asyncio.sleep(AWAY_S)
        # Long after the store counts as stable again, and more than drain_ms before the next round.
        await asyncio.sleep(STABLE_WINDOW_S + 2.8)
        leaver = runners[0]
        removed_at = record.now_s()
        revision = await leaver.leave_unannounced()
        record.note(f"store    the entry of {leaver.id} is removed at revision {revision}")
        await asyncio.sleep(8)
        await leaver.http.stop()
        record.note(f"runner   {leaver.id} ends")
        await asyncio.sleep(3)
        traffic.cancel()
        late = [arrival for arrival in leaver.arrivals if arrival[0] > removed_at + DRAIN_S]
        for arrived_at, attempt in late:
            record.note(f"DRAIN    {attempt} reached {leaver.id} {arrived_at - removed_at:.3f} s after "
                        "the removal was confirmed")
        record.note(f"result   {len(late)} requests reached the runner later than drain_ms")
        return bool(late)
    finally:
        await stop_entries(entries)
        if keep := os.environ.get("KEEP_LOGS"):
            os.system(f"cp {folder}/*.log {keep}")


main(case)
