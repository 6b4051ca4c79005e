"""The store comes back from a copy some seconds old. Seconds later a runner's entry is removed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
from standins import (STABLE_WINDOW_S, Runner, Store, addresses, configuration, main, note_late, route,
                      send_rounds, start_entries, stop_entries)

ZONES = ["wro-a", "wro-a", "wro-a", "wro-b", "opole-c"]
COPY_AGE_S = 8.0
AWAY_S = 0.5
ROUND_S = 3.5
STORM_S, STORM_GAP_S = 4.0, 0.33
# The next round begins 3.2 s after the removal.
SERVES_S = 3.27


def new_configuration(version):
    return configuration(version, [route("status", "unsafe", "case-api")], ["case-api", "llm-pool"])


async def case(record, folder, with_trouble):
    ip = addresses(1)[0]
    store = Store(ip)
    await store.start()
    runners = [Runner(ip, "case-api", zone, store, record) for zone in ZONES[2:]]
    models = [Runner(ip, "llm-pool", zone, store, record) for zone in ZONES[2:] * 4]
    version = 7
    await store.write("op/config", new_configuration(version))
    for runner in runners + models:
        await runner.start()
    entries = await start_entries(ZONES, folder, store)
    try:
        await asyncio.sleep(2)
        traffic = asyncio.create_task(send_rounds(entries, record, ROUND_S))
        copy = store.copy()
        record.note(f"store    a copy is made at revision {store.revision}")
        for _ in range(int(STORM_S / STORM_GAP_S)):
            await asyncio.sleep(STORM_GAP_S)
            version += 1
            await store.write("op/config", new_configuration(version))
        await asyncio.sleep(COPY_AGE_S - STORM_S)
        if with_trouble:
            record.note(f"store    away at revision {store.revision}")
            await store.go_away()
            await asyncio.sleep(AWAY_S)
            await store.come_back(copy)
            record.note(f"store    back from the copy, revision {store.revision}, era {store.era}")
            await store.write("op/config", new_configuration(version))
            for runner in runners + models:
                await runner.register("ready")
            record.note(f"store    all is written again, revision {store.revision}")
        else:
            await asyncio.sleep(AWAY_S)
        # Long after the store counts as stable again, and more than drain_ms before the next round.
        await asyncio.sleep(STABLE_WINDOW_S + 2.8)
        removed_at = await runners[0].leave_unannounced(SERVES_S)
        await asyncio.sleep(3)
        traffic.cancel()
        return note_late(record, runners[0], removed_at)
    finally:
        await stop_entries(entries)


main(case)
