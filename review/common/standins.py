"""Stand-ins for the platform, the runners and the clients, and the start of real entries.

They speak what the users' pages PROTOCOL and DEPLOY say, on loopback addresses.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ENTRY_COMMAND = [os.path.join(REPOSITORY, "target/release/hickorycross-entry"), "on-platform"]
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# All processes that a case has started.
STARTED = []


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started_at = time.monotonic()
        self.answers = {}

    def now_s(self):
        return time.monotonic() - self.started_at

    def note(self, text):
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the start line and the headers of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """An HTTP/1.1 server; `answer(method, target, headers, body)` returns status, headers and body,
    or None to close the connection without an answer.
    """

    def __init__(self, ip, answer, port=0):
        self.ip, self.answer, self.port = ip, answer, port
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def stop(self):
        """Closes the port and resets all connections, as a process that ends."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                answer = await self.answer(method, target, headers, body)
                if answer is None:
                    return
                writer.write(message(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: items with revisions, reads and watches."""

    def __init__(self, ip):
        self.http = HttpServer(ip, self.answer)
        # The end of one machine's path to the store, which can be cut.
        self.path = HttpServer(ip, self.answer_over_path)
        self.path_is_sound = asyncio.Event()
        self.path_is_sound.set()
        self.era, self.revision = 1, 0
        self.items, self.events = {}, []
        self.changed = asyncio.Condition()

    async def write(self, key, value):
        """Writes an item, or removes it if `value` is None. Returns the revision."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
        else:
            created = self.items[key]["created"] if key in self.items else self.revision
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = {"key": key, "value": text, "revision": self.revision,
                               "created": created, "lease": 0}
            self.events.append(self.items[key])
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def copy(self):
        return self.revision, dict(self.items), list(self.events)

    async def start(self):
        await self.http.start()
        await self.path.start()

    async def go_away(self):
        await self.http.stop()

    async def come_back(self, copy):
        """Serves again from a copy. What was written since the copy is lost."""
        self.revision, self.items, self.events = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1
        await self.http.start()

    async def answer_over_path(self, method, target, headers, body):
        """Answers, or says nothing while the path is cut. Connections from then are lost."""
        answer = await self.answer(method, target, headers, body)
        if self.path_is_sound.is_set():
            return answer
        await self.path_is_sound.wait()
        return None

    async def answer(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        status, value = 404, {}
        if url.path == "/kv-key" and query["key"] in self.items:
            status, value = 200, {**self.items[query["key"]], "as_of": self.revision}
        elif url.path == "/kv-range":
            items = [it for key, it in sorted(self.items.items()) if key.startswith(query["prefix"])]
            status, value = 200, {"items": items, "truncated": False, "as_of": self.revision}
        elif url.path == "/kv-watch":
            status, value = await self.watch(query)
        fields = {"Content-Type": "application/json", "Store-Era": self.era}
        return status, fields, json.dumps(value).encode()

    async def watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["wait_timeout_ms"]) / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [it for it in self.events
                      if it["revision"] > after and it["key"].startswith(query["prefix"])]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass


class Runner:
    """A runner of a plain service, which registers itself in the store."""

    def __init__(self, ip, service, zone, store, record, slots=6, work_ms=(30, 90)):
        self.id = "i-%08x" % random.getrandbits(32)
        self.service, self.zone, self.store, self.record = service, zone, store, record
        self.slots, self.work_ms = slots, work_ms
        self.http = HttpServer(ip, self.answer)
        self.is_leaving, self.is_listed = False, True
        self.arrivals = []

    async def start(self):
        await self.http.start()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while self.is_listed:
            await self.register("ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self, state):
        """Writes the entry, which changes the item only if it is another one."""
        key, entry = f"servers/{self.id}", {
            "service": self.service, "address": self.http.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": 1}
        if self.store.http.server.is_serving() and self.store.value(key) != entry:
            await self.store.write(key, entry)

    async def leave_unannounced(self, serves_s):
        """Has its entry removed, goes on serving for some seconds, and ends. Returns when it was removed."""
        self.is_listed, self.is_leaving = False, True
        self.beats.cancel()
        removed_at = self.record.now_s()
        revision = await self.store.write(f"servers/{self.id}", None)
        self.record.note(f"store    the entry of {self.id} is removed at revision {revision}")
        await asyncio.sleep(serves_s)
        await self.http.stop()
        self.record.note(f"runner   {self.id} ends")
        return removed_at

    async def answer(self, method, target, headers, body):
        fields = {"Hickorycross-Instance-Id": self.id}
        if self.is_leaving:
            fields["Server-Leaving"] = "1"
        if target == "/health":
            return (503 if self.is_leaving else 200), fields, b""
        if headers.get("hickorycross-expect-instance", self.id) != self.id:
            return 421, fields, b""
        attempt = headers.get("hickorycross-attempt-id")
        self.arrivals.append((self.record.now_s(), attempt))
        self.record.note(f"run      {attempt} {method} {target} at {self.id}")
        await asyncio.sleep(random.uniform(*self.work_ms) / 1000)
        fields |= {"Hickorycross-Attempt-Id": attempt, "Hickorycross-Response-Seal": "3e1b.07.5a2"}
        return 200, fields, b"the answer to " + attempt.encode()


class Entry:
    """A real entry process, started with the command of the deploy file."""

    def __init__(self, name, zone, ip, folder, ports, seeds, store_address):
        self.name, self.ip, self.ports = name, ip, ports
        self.settings = os.path.join(folder, f"{name}.toml")
        self.log = os.path.join(folder, f"{name}.log")
        front, ready, control = (f"{ip}:{port}" for port in ports[:3])
        with open(self.settings, "w") as file:
            file.write(f"""node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "pl-south"
internal_ports = [{ports[3]},{ports[3] + 15}]
seed_addrs = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
wro-a = "pl-south"
wro-b = "pl-south"
opole-c = "pl-south"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
config_ms = 2000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 90
stall_ms = 1500
require_fencing = true
[platform]
address = "{store_address}"
form = "read"
reads_per_s = 2000
history_s = 20
""")

    async def start(self):
        environment = {"PATH": os.environ["PATH"], "HICKORYCROSS_BOOT": self.settings}
        log = open(self.log, "a")
        self.process = await asyncio.create_subprocess_exec(
            *ENTRY_COMMAND, env=environment, stdout=log, stderr=log, cwd=REPOSITORY)
        STARTED.append(self.process)

    async def is_ready(self):
        try:
            status, _, _ = await request(self.ip, self.ports[1], "GET", "/ready", {}, b"", 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def send(self, method, path, attempt, record, budget_ms=2500, body=b""):
        """Sends a client's request on a new connection, and records its answer."""
        headers = {"Host": HOST, "Hickorycross-Attempt-Id": attempt, "Authorization": f"Bearer {KEY}",
                   "Hickorycross-Deadline-Ms": str(budget_ms)}
        record.note(f"sent     {attempt} {method} {path} to {self.name}")
        try:
            status, _, content = await request(
                self.ip, self.ports[0], method, path, headers, body, budget_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record.note(f"answered {attempt} nothing ({type(error).__name__})")
            return
        record.answers[attempt] = status
        record.note(f"answered {attempt} {status} {content[:60]!r}")


async def request(ip, port, method, path, headers, body, timeout_s):
    """Sends one request on a new connection, and returns status, headers and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            fields = {"Host": HOST, "Content-Length": str(len(body)), **headers}
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout_s)


def addresses(count):
    """Returns loopback addresses that other runs on this machine hardly use."""
    process = os.getpid()
    return [f"127.{64 + process // 256 % 64}.{process % 256}.{10 + n}" for n in range(count)]


def free_ports(ips, count):
    """Returns ports that are free on all these addresses."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10_000, 30_000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            ports.append(port)
        except OSError:
            pass
    return ports


def route(name, kind, service):
    return {"name": f"r-{name}", "host": HOST, "prefix": f"/{name}/", "kind": kind, "timeout_ms": 1200,
            "target_latency_ms": 150, "priority": 2, "service": service,
            "max_attempts": 2 if kind == "safe" else 1, "public": False}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_connections": 100,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


async def start_entries(zones, folder, store, on_path=None):
    """Starts an entry in each of `zones`, and waits until all are ready.

    The one with the index `on_path` calls the store over the path that can be cut.
    """
    ips = addresses(len(zones) + 1)[1:]
    ports = free_ports(ips, 4)
    seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
    store_addresses = [store.path.address if n == on_path else store.http.address
                       for n in range(len(zones))]
    entries = [Entry(f"front-{n + 1}", zone, ip, folder, ports, seeds, store_addresses[n])
               for n, (zone, ip) in enumerate(zip(zones, ips))]
    for entry in entries:
        await entry.start()
    await wait_until_ready(entries)
    return entries


async def wait_until_ready(entries):
    for _ in range(200):
        if all([await entry.is_ready() for entry in entries]):
            return
        await asyncio.sleep(0.05)
    await stop_entries(entries)
    sys.exit(2)


async def send_round(entries, record, number):
    """A few clients send a request at the same time: six to each entry."""
    sends = [entry.send("POST", f"/status/{index}", f"{number:04x}{entry.name[-1]}{index:x}", record)
             for entry in entries for index in range(6)]
    await asyncio.gather(*sends)


async def send_rounds(entries, record, pause_s):
    number = 0
    while True:
        asyncio.create_task(send_round(entries, record, number))
        number += 1
        await asyncio.sleep(pause_s)


def note_late(record, runner, removed_at):
    """Records the requests that reached a removed runner too late. Returns whether there are any."""
    late = [arrival for arrival in runner.arrivals if arrival[0] > removed_at + DRAIN_S]
    for arrived_at, attempt in late:
        record.note(f"DRAIN    {attempt} reached {runner.id} {arrived_at - removed_at:.3f} s after the "
                    f"removal was confirmed, and was answered {record.answers.get(attempt)}")
    lost = sum(record.answers.get(attempt) != 200 for _, attempt in late)
    record.note(f"result   {len(late)} requests reached the runner later than drain_ms, {lost} of them "
                "were lost when it ended")
    return bool(late)


async def stop_entries(entries):
    for entry in entries:
        if entry.process.returncode is None:
            entry.process.kill()
            await entry.process.wait()


async def run(case, record, folder):
    """Runs a case, and ends all processes that it started, also after SIGTERM or an error."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await case(record, folder, os.environ.get("TROUBLE") != "0")
    finally:
        for process in STARTED:
            if process.returncode is None:
                process.kill()
                await process.wait()


def main(case):
    """Exits with 1 if `case(record, folder, with_trouble)` returns that a rule broke, 2 if it couldn't run."""
    if not os.path.exists(ENTRY_COMMAND[0]):
        print("the programs are not built")
        sys.exit(2)
    record = Record(os.path.dirname(os.path.abspath(sys.argv[0])))
    try:
        with tempfile.TemporaryDirectory() as folder:
            is_broken = asyncio.run(run(case, record, folder))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
