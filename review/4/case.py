"""Cuts the machine of the rank that holds a pass off for half a second, during changes of the expert map, and looks for
a pass that begins with two maps."""
import http.client
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

from rank_group import Network, RankGroup  # noqa: E402
from standins import (CannotRun, Fleet, HOST, Store, configuration, new_id, random_network, request_headers,  # noqa: E402
                      run_case, runner_entry, wait_for)

RANKS = 6
FRONT = RANKS
EXPERTS_PER_RANK = 4
SERVICE = "llm-pool"
CLIENTS = 8
CUT_S = 0.5
BETWEEN_CUTS_S = 3
WATCHED_S = 75


def send_streams(address, until, record):
    while time.monotonic() < until:
        try:
            connection = http.client.HTTPConnection(*address, timeout=10)
            headers = request_headers(new_id(), 8000) | {"Hickorycross-Token-Usage": "674,100"}
            connection.request("POST", "/lohu930/2f", b"prompt", headers)
            response = connection.getresponse()
            response.read()
            if response.status != 200:
                record.note(f"a stream is answered {response.status}")
                time.sleep(0.3)
        except (OSError, http.client.HTTPException) as error:
            record.note(f"a stream ends: {error}")
            time.sleep(0.3)


class Cuts:
    """Cuts a machine off when all ranks but the leader's are armed and the rank there, which holds a pass, has
    answered."""

    def __init__(self, group, record):
        self.group, self.record = group, record
        self.lock = threading.Lock()
        self.count, self.next_at = 0, 0.0

    def on_order(self, rank, order, status):
        if order["operation"] != "arm" or status != 200:
            return
        with self.group.changed:
            holders = [it for it in self.group.ranks if it.held is not None]
            unarmed = [it for it in self.group.ranks if it.armed is None]
        if len(holders) != 1 or len(unarmed) != 1 or rank is holders[0] or unarmed[0] is holders[0]:
            return
        with self.lock:
            if time.monotonic() < self.next_at:
                return
            self.next_at = time.monotonic() + BETWEEN_CUTS_S
        time.sleep(0.008)  # The answer of the rank that holds is on its way to the leader.
        self.count += 1
        self.group.network.cut(holders[0].number)
        self.record.note(f"the machine of rank {holders[0].number}, which holds a pass, is cut off; the leader's rank is "
                         f"{unarmed[0].number}")
        threading.Timer(CUT_S, self.heal).start()

    def heal(self):
        self.group.network.heal()
        self.record.note("the cut heals")


def case(record, trouble):
    address_of = random_network()
    fleets = [Fleet(Store(address_of(2 + machine)), ["wro-a"], 3000, 2000) for machine in range(RANKS + 1)]
    network = Network(address_of, RANKS + 1, Fleet.first_port)
    try:
        return run(record, trouble, address_of, network, fleets)
    finally:
        for fleet in fleets:
            fleet.stop()


def fill(store, group, machine):
    """Writes what the operator and the runners write, with the addresses that a machine reaches the runners at."""
    engine = {"sets": 1, "experts": group.expert_count, "places": EXPERTS_PER_RANK + 2, "spare": 2, "form_ms": 600,
              "slots": 12, "kv_capacity_tokens": 280000, "stride": 4, "step_ms": 10}
    services = [{"name": SERVICE, "health_path": "/health", "engine": engine}]
    routes = [{"name": "wniosek-draft", "host": HOST, "prefix": "/lohu930/", "kind": "streaming", "resumable": True,
               "timeout_ms": 8000, "target_latency_ms": 500, "target_gap_ms": 120, "priority": 1, "service": SERVICE,
               "max_attempts": 2, "sticky": True}]
    store.put("op/config", configuration(1, routes, services))
    for rank in group.ranks:
        store.put(f"servers/{rank.id}", runner_entry(SERVICE, group.address(machine, rank.number), "wro-a", 12))


def run(record, trouble, address_of, network, fleets):
    group = RankGroup(network, RANKS, EXPERTS_PER_RANK, record)
    network.start(RANKS)
    for machine, fleet in enumerate(fleets):
        fill(fleet.store, group, machine)
    # Each machine sees the others at addresses of its own, so each has an entry of its own that tells it of them.
    for machine in range(RANKS):
        fleets[machine].start_entries({address_of(200 + machine): "wro-a"})
        fleets[machine].start_agent(f"side-{machine}", SERVICE, group.address(machine, machine), "wro-a")
    front = fleets[FRONT].start_entries({address_of(200 + FRONT): "wro-a"})[0]
    until = time.monotonic() + WATCHED_S
    for _ in range(CLIENTS):
        threading.Thread(target=send_streams, args=(front, until, record), daemon=True).start()
    wait_for(lambda: group.switches > 0, 15, "change of the map")
    cuts = Cuts(group, record)
    if trouble:
        group.on_order = cuts.on_order
    while time.monotonic() < until and not group.mixed_passes:
        # Other experts are in demand.
        group.hot_expert = (group.hot_expert + 5) % group.expert_count
        time.sleep(1.5)
    if trouble and cuts.count == 0:
        raise CannotRun("no change of the map during which a machine could be cut off")
    record.note(f"{group.switches} changes of the map, {cuts.count} cuts; passes with two maps: {len(group.mixed_passes)}")
    return not group.mixed_passes


run_case(FOLDER, case)
