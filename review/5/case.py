"""The store comes back from a copy some seconds old. Later a zone is evacuated, and this looks for requests that reach
the runners there when that must be over, and for those that are lost when the zone is taken away."""
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

from plain_runner import Callers, Runner  # noqa: E402
from standins import Fleet, HOST, Store, configuration, random_network, run_case, runner_entry  # noqa: E402

SERVICE = "rights-desk"
ZONES = ["kgl-a", "kgl-b"]
EVACUATED = "kgl-b"
CHANGES, BETWEEN_CHANGES_S = 12, 0.33
AWAY_S = 1.0
STABLE_WINDOW_S = 4.0
EVACUATE_S = 5.0
WATCHED_S = 6.0


def change_configuration(store, version):
    services = [{"name": SERVICE, "health_path": "/health"}]
    routes = [{"name": "dispatch-pay", "host": HOST, "prefix": "/puxa403/", "kind": "unsafe", "timeout_ms": 1200 + version,
               "target_latency_ms": 150, "priority": 2, "service": SERVICE, "max_attempts": 1}]
    store.put("op/config", configuration(version, routes, services))


def case(record, trouble):
    address_of = random_network()
    store = Store(address_of(2))
    fleet = Fleet(store, ZONES, 4000, 3000)
    try:
        return run(record, trouble, address_of, store, fleet)
    finally:
        fleet.stop()


def run(record, trouble, address_of, store, fleet):
    runners = [Runner(address_of(10 + n), f"i-{n}", ZONES[n % 2], record) for n in range(4)]
    change_configuration(store, 1)
    for runner in runners:
        store.put(f"servers/{runner.id}", runner_entry(SERVICE, runner.address, runner.zone, 6))
    entries = fleet.start_entries({address_of(3): ZONES[0], address_of(4): ZONES[1]})
    callers = Callers(entries, "/puxa403/2f", 8, record)
    time.sleep(2)
    copy = store.copy()
    for version in range(2, 2 + CHANGES):
        change_configuration(store, version)
        time.sleep(BETWEEN_CHANGES_S)
    time.sleep(1.5)
    record.note(f"the store is at revision {store.revision}")
    if trouble:
        store.go_down()
        time.sleep(AWAY_S)
        store.come_back(copy)
        change_configuration(store, 1 + CHANGES)
        record.note(f"the store is back from its copy, and what the operator wrote is written again: it is at revision "
                    f"{store.revision}")
    time.sleep(STABLE_WINDOW_S + 0.5)
    store.put(f"op/evacuate/{EVACUATED}", {})
    evacuated_at = time.monotonic()
    record.note(f"{EVACUATED} is evacuated at revision {store.revision}")
    time.sleep(EVACUATE_S + WATCHED_S)
    for runner in runners:
        if runner.zone == EVACUATED:
            runner.end()
    record.note(f"the runners in {EVACUATED} are taken away")
    time.sleep(1)
    callers.is_over = True
    time.sleep(1)
    late = [it for runner in runners if runner.zone == EVACUATED for it in runner.arrivals
            if it[0] > evacuated_at + EVACUATE_S]
    lost = [outcome for *_, outcome in callers.answers if outcome != 200]
    record.note(f"{len(lost)} of {len(callers.answers)} requests are lost or refused: {lost}")
    record.note(f"{len(late)} requests reach runners in {EVACUATED} later than {EVACUATE_S} s after that")
    return not late


run_case(FOLDER, case)
