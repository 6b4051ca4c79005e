"""One entry is cut off from the store for some seconds. Right after that a runner's entry is removed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
from standins import (Runner, Store, addresses, configuration, main, note_late, route, send_rounds,
                      start_entries, stop_entries)

ZONES = ["wro-a", "wro-a", "wro-b", "opole-c"]
CUT_OFF = 2
CUT_S = 5.5
REMOVED_AFTER_S = 1.5
ROUND_S = 2.4
# The next round begins 2.1 s after the removal.
SERVES_S = 2.16


async def case(record, folder, with_trouble):
    ip = addresses(1)[0]
    store = Store(ip)
    await store.start()
    runners = [Runner(ip, "case-api", zone, store, record) for zone in ZONES[1:]]
    await store.write("op/config", configuration(7, [route("status", "unsafe", "case-api")], ["case-api"]))
    for runner in runners:
        await runner.start()
    entries = await start_entries(ZONES, folder, store, CUT_OFF)
    name = entries[CUT_OFF].name
    try:
        await asyncio.sleep(2)
        if with_trouble:
            store.path_is_sound.clear()
            record.note(f"path     {name} is cut off from the store")
        await asyncio.sleep(CUT_S)
        store.path_is_sound.set()
        record.note(f"path     {name} reaches the store")
        await asyncio.sleep(REMOVED_AFTER_S - 0.3)
        traffic = asyncio.create_task(send_rounds(entries, record, ROUND_S))
        await asyncio.sleep(0.3)
        removed_at = await runners[1].leave_unannounced(SERVES_S)
        await asyncio.sleep(3)
        traffic.cancel()
        return note_late(record, runners[1], removed_at)
    finally:
        await stop_entries(entries)


main(case)
