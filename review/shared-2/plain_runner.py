"""A stand-in of a plain runner, which answers one request after some milliseconds of work, and callers for it."""
import http.client
import socket
import threading
import time

from standins import Handler, free_port, new_id, request_headers, serve

WORK_S = 0.03


class Runner:
    """A runner that registers nowhere by itself. `arrivals` holds when each request reached it, and the request's id."""

    def __init__(self, ip, runner_id, zone, record):
        self.address = (ip, free_port(ip))
        self.id, self.zone, self.record = runner_id, zone, record
        self.is_leaving = False
        self.work_s = WORK_S
        self.arrivals = []
        self.connections = set()
        runner = self

        class RunnerHandler(Handler):
            def setup(self):
                super().setup()
                runner.connections.add(self.connection)

            def finish(self):
                runner.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                runner.answer(self)

            def do_POST(self):
                runner.answer(self)

        self.server = serve(self.address, RunnerHandler)

    def answer(self, request):
        request.body()
        attempt_id = request.headers["Hickorycross-Attempt-Id"]
        if request.path == "/health":
            return request.respond(200, headers=[("Hickorycross-Instance-Id", self.id)])
        headers = [("Hickorycross-Attempt-Id", attempt_id)]
        if request.headers["Hickorycross-Expect-Instance"] != self.id:
            return request.respond(421, headers=headers)
        self.arrivals.append((time.monotonic(), attempt_id))
        self.record.note(f"{self.id} in {self.zone} begins {attempt_id}")
        time.sleep(self.work_s)
        headers.append(("Hickorycross-Response-Seal", "3e1b.07"))
        if self.is_leaving:
            headers += [("Server-Leaving", "1"), ("Connection", "close")]
        request.respond(200, b"x" * 800, headers)

    def end(self):
        """Ends at once, and with it all that it runs."""
        threading.Thread(target=self.server.shutdown, daemon=True).start()
        self.server.socket.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Callers:
    """Sends requests at a rate, each on a connection of its own, to the entries in turn."""

    def __init__(self, entries, path, per_s, record):
        self.entries, self.path, self.per_s, self.record = entries, path, per_s, record
        self.answers = []
        self.is_over = False
        threading.Thread(target=self._send_all, daemon=True).start()

    def _send_all(self):
        number = 0
        while not self.is_over:
            threading.Thread(target=self._send, args=(self.entries[number % len(self.entries)],), daemon=True).start()
            number += 1
            time.sleep(1 / self.per_s)

    def _send(self, address):
        attempt_id, sent_at = new_id(), time.monotonic()
        try:
            connection = http.client.HTTPConnection(*address, timeout=4)
            connection.request("POST", self.path, b"y" * 600, request_headers(attempt_id, 2500))
            response = connection.getresponse()
            response.read()
            outcome = response.status
        except (OSError, http.client.HTTPException) as error:
            outcome = f"no answer ({error})"
        self.answers.append((sent_at, attempt_id, outcome))
        self.record.note(f"{attempt_id} to entry {self.entries.index(address)} is answered {outcome}")
