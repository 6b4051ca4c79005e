"""A stand-in of a group of model runners: ranks that make passes together and take orders from anyone. And a network
between their machines that can cut one off."""
import json
import random
import select
import socket
import threading
import time
from urllib.parse import urlsplit

from standins import Handler, free_port, serve

PASS_S = 0.04
EVENTS_OF_STREAM = 16
CHOICES_PER_PASS = 200
HOT_FACTOR = 11
NO_ANSWER_S = 0.2


class Network:
    """A proxy between machines, which are numbered.

    Machine `a` reaches machine `b` at an address of the pair's own, `link(a, b)`. Datagrams to the port of the agents
    go through a relay, and arrive as if from `link(b, a)`. Calls of runners are taken at these addresses directly.
    """

    def __init__(self, address_of, machines, port):
        self.port = port
        self.machines = machines
        self.links = {(a, b): address_of(20 + a * machines + b) for a in range(machines) for b in range(machines)}
        self.pair_at = {address: pair for pair, address in self.links.items()}
        self.cut_off = None
        self.healed = threading.Event()
        self.healed.set()

    def link(self, a, b):
        return self.links[a, b]

    def own(self, machine):
        return self.links[machine, machine]

    def cut(self, machine):
        self.healed.clear()
        self.cut_off = machine

    def heal(self):
        self.cut_off = None
        self.healed.set()

    def is_cut(self, a, b):
        return a != b and self.cut_off in (a, b)

    def start(self, agents):
        """Relays datagrams between the machines below the number `agents`."""
        sockets = {}
        for (a, b), address in self.links.items():
            if a != b and a < agents and b < agents:
                sockets[a, b] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sockets[a, b].bind((address, self.port))
        threading.Thread(target=self._relay, args=(sockets,), daemon=True).start()

    def _relay(self, sockets):
        pair_of = {link: pair for pair, link in sockets.items()}
        while True:
            for ready in select.select(list(pair_of), [], [])[0]:
                a, b = pair_of[ready]
                try:
                    datagram = ready.recv(65536)
                    if not self.is_cut(a, b):
                        sockets[b, a].sendto(datagram, (self.own(b), self.port))
                except OSError:
                    pass  # No agent listens there.


class Rank:
    def __init__(self, number, experts, expert_count):
        self.number = number
        self.id = f"i-rank{number}"
        self.map, self.experts = 0, experts
        self.newest, self.prepared, self.armed, self.held = 0, None, None, None
        self.fence, self.sequence = 0, 0
        self.counts = [0] * expert_count
        self.awake = threading.Event()
        self.awake.set()


class RankGroup:
    """Ranks on addresses of their own. An idle group makes no passes.

    `on_order(rank, order, status)` is called after each order, outside the lock. A share `late_share` of the orders gets
    no answer and is carried out 2 to 12 s later.
    """

    def __init__(self, network, count, experts_per_rank, record, checks_fences=True):
        self.changed = threading.Condition()
        self.network = network
        self.record = record
        self.checks_fences = checks_fences
        self.late_share = 0.0
        self.expert_count = count * experts_per_rank
        self.ranks = [Rank(n, list(range(n, self.expert_count, count)), self.expert_count) for n in range(count)]
        self.step, self.open_streams, self.hot_expert = 0, 0, 0
        self.mixed_passes, self.switches = [], 0
        self.on_order = lambda *_: None
        self.ports = [free_port(network.own(n)) for n in range(count)]
        for rank in self.ranks:
            for machine in range(network.machines):
                self._listen(rank, network.link(machine, rank.number))
        threading.Thread(target=self._passes, daemon=True).start()

    def address(self, machine, rank):
        """The address at which a machine reaches a rank."""
        return self.network.link(machine, rank), self.ports[rank]

    def _listen(self, rank, ip):
        group, pair = self, self.network.pair_at[ip]

        class RankHandler(Handler):
            def do_GET(self):
                if group.is_reached(pair, rank, self):
                    group.answer_read(rank, self)

            def do_POST(self):
                if not group.is_reached(pair, rank, self):
                    return
                if self.path == "/order":
                    group.answer_order(rank, pair[0], self)
                else:
                    group.answer_request(rank, self)

        serve((ip, self.ports[rank.number]), RankHandler)

    def is_reached(self, pair, rank, request):
        """What is sent across a cut gets no answer and is lost; what is sent to a frozen machine waits there."""
        if not self.network.is_cut(*pair):
            rank.awake.wait()
            return True
        self.network.healed.wait()
        request.close_connection = True
        return False

    def _passes(self):
        while True:
            time.sleep(PASS_S)
            with self.changed:
                following = self.step + 1
                if self.open_streams == 0 or any(rank.held == following for rank in self.ranks):
                    continue
                self.step = following
                for rank in self.ranks:
                    self._begin_pass(rank)
                if len({(rank.map, json.dumps(self.map_content(rank))) for rank in self.ranks}) > 1:
                    maps = [rank.map for rank in self.ranks]
                    self.mixed_passes.append((following, maps))
                    self.record.note(f"pass {following} begins with the maps {maps}")
                self.changed.notify_all()

    def map_content(self, rank):
        """The map that a rank uses, which is the same at all ranks if they agree."""
        return rank.whole_map if rank.map else None

    def _begin_pass(self, rank):
        if rank.armed and rank.armed[1] <= self.step:
            version, rank.armed = rank.armed[0], None
            if rank.prepared and rank.prepared[0] == version:
                rank.map, rank.whole_map = version, rank.prepared[1]
                rank.experts = rank.whole_map[0][rank.number]
                if rank.number == 0:
                    self.switches += 1
                    self.record.note(f"pass {self.step}: rank 0 switches to map {version}")
        for expert in range(self.expert_count):
            hot = HOT_FACTOR * self.expert_count // len(self.ranks) if expert == self.hot_expert else 1
            rank.counts[expert] += CHOICES_PER_PASS * hot

    def answer_read(self, rank, request):
        url = urlsplit(request.path)
        with self.changed:
            if url.path == "/report":
                armed = rank.armed and {"version": rank.armed[0], "step": rank.armed[1]}
                body = {"stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                        "sequence": rank.sequence, "waiting": 0, "running": self.open_streams, "kv_used": 0,
                        "kv_total": 280000, "handles": 0, "pace": 1.0, "size": len(self.ranks), "step": self.step,
                        "group": {"name": "g", "epoch": 1, "rank": rank.number, "state": "open"}, "map": rank.map,
                        "prepared": rank.prepared and rank.prepared[0], "armed": armed, "held": rank.held, "born": 1}
            elif url.path == "/picked" and "lists" in url.query:
                body = {"map": {"version": rank.map, "experts": [rank.experts]}, "born": 1}
            elif url.path == "/picked":
                body = {"step": self.step, "epoch": 1, "counts": list(rank.counts), "born": 1}
            else:
                return request.respond(404)
        request.respond(200, body, [("Content-Type", "application/json")])

    def answer_order(self, rank, sender, request):
        order = json.loads(request.body())
        if random.random() < self.late_share:
            threading.Timer(random.uniform(2, 12), self._carry_out_late, [rank, sender, order]).start()
            request.close_connection = True
            return time.sleep(NO_ANSWER_S)
        with self.changed:
            status = self._carry_out(rank, order)
            self._note_order(rank, sender, order, status, "gets")
        self.on_order(rank, order, status)
        request.respond(status)

    def _carry_out_late(self, rank, sender, order):
        with self.changed:
            self._note_order(rank, sender, order, self._carry_out(rank, order), "carries out late")

    def _note_order(self, rank, sender, order, status, verb):
        if order["operation"] != "prepare":
            self.record.note(f"rank {rank.number} {verb} {json.dumps(order)} from machine {sender}: {status}")

    def _carry_out(self, rank, order):
        if self.checks_fences and order["fencing_token"] < rank.fence:
            return 412
        rank.fence = order["fencing_token"]
        if order.get("epoch", 1) != 1:
            return 409
        operation, version, step = order["operation"], order.get("version"), order.get("step")
        if operation == "prepare":
            if version <= rank.newest or rank.armed:
                return 409
            rank.newest, rank.prepared = version, (version, order["map"])
            rank.sequence += 1
            return 202
        if operation == "arm":
            if rank.armed == (version, step):
                return 200
            if step <= self.step or not rank.prepared or rank.prepared[0] != version:
                return 409
            rank.armed = (version, step)
        elif operation == "disarm":
            if version == rank.map:
                return 409
            if rank.armed and rank.armed[0] == version:
                rank.armed = None
        elif operation == "hold":
            if rank.held == step:
                return 200
            if step <= self.step or rank.held is not None:
                return 409
            rank.held = step
        elif operation == "go":
            if rank.held == step:
                rank.held = None
        else:
            return 400
        rank.sequence += 1
        return 200

    def answer_request(self, rank, request):
        request.body()
        attempt_id = request.headers["Hickorycross-Attempt-Id"]
        headers = [("Hickorycross-Attempt-Id", attempt_id)]
        if request.headers.get("Hickorycross-Expect-Instance") not in (None, rank.id):
            return request.respond(421, headers=headers)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        request.send_response(200)
        for name, value in headers + [("Hickorycross-Response-Seal", "3e1b.07"), ("Transfer-Encoding", "chunked"),
                                      ("Content-Type", "text/event-stream"), ("Hickorycross-Weight-Versions", "1")]:
            request.send_header(name, value)
        request.end_headers()
        with self.changed:
            self.open_streams += 1
        try:
            for number in range(first, EVENTS_OF_STREAM + 1):
                self._wait_for_pass()
                event = f"id: {number}\ndata: {attempt_id}\n\n".encode()
                request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            request.wfile.write(b"0\r\n\r\n")
        except OSError:
            request.close_connection = True
        finally:
            with self.changed:
                self.open_streams -= 1

    def _wait_for_pass(self):
        with self.changed:
            begun = self.step
            while self.step == begun:
                self.changed.wait(1)

