"""Stand-ins for the review's cases: partner servers, clients of CloudEvents, and control of daemons.

Everything listens on 127.0.0.1, at ports that the system picks. Only processes that were started here are signalled.
"""

import http.client
import http.server
import json
import os
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/marblefall"


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """The case's record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Partner:
    """A partner's server. `answer(call)` returns (seconds until the answer, status, extra header fields).

    A call begins once its last byte has come, and is counted then. `calls` holds a dictionary for each.
    """

    def __init__(self, name, record, answer):
        self.name, self.record, self.answer = name, record, answer
        self.calls, self.lock = [], threading.Lock()
        partner = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                try:
                    while partner.serve(self.rfile, self.wfile):
                        pass
                except OSError:
                    pass

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 128

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, reader, writer):
        line = reader.readline()
        if not line.strip():
            return False
        fields = {}
        while True:
            field = reader.readline()
            if not field.strip():
                break
            name, _, value = field.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        body = reader.read(length)
        if len(body) < length:
            return False
        call = {
            "at": time.monotonic(),
            "event": fields.get("ce-id", fields.get("x-call-id", "")),
            "key": fields.get("idempotency-key", ""),
            "partner": self.name,
        }
        with self.lock:
            self.calls.append(call)
            number = len(self.calls)
        self.record.write(f"partner {self.name}: call {number} runs event {call['event']}")
        delay, status, extra = self.answer(call)
        time.sleep(delay)
        lines = [f"HTTP/1.1 {status} X"] + list(extra)
        if status != 204:
            lines.append("Content-Length: 0")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        writer.flush()
        call["answered"] = time.monotonic()
        self.record.write(f"partner {self.name}: answers {status} to event {call['event']}")
        return True

    def runs_of(self, event):
        with self.lock:
            return sum(1 for call in self.calls if call["event"] == event)


    def answered_at(self, event):
        """Returns when a 200 was first written for an event or message, or None."""
        with self.lock:
            times = [call["answered"] for call in self.calls if call["event"] == event and "answered" in call]
        return min(times, default=None)


class Platform:
    """The platform's place for notices: POST /status, one JSON object a line, answered 204 at once."""

    def __init__(self, record):
        self.record, self.notices, self.lock = record, {}, threading.Lock()
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                for line in body.decode().splitlines():
                    platform.note(json.loads(line))
                self.send_response(204)
                self.end_headers()

            def log_message(self, *arguments):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def note(self, notice):
        self.record.write(f"platform: notice {notice}")
        with self.lock:
            self.notices.setdefault(notice["id"], time.monotonic())

    def ended_at(self, message):
        with self.lock:
            return self.notices.get(message)


def hand_in(port, message, kind, destination, budget_ms, key=""):
    """Hands in one message by the platform's protocol. Returns the status, or None without an answer in 400 ms."""
    body = b"refill"
    head = [
        "POST /api HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {message}",
        f"X-Call-Class: {kind}",
        f"X-Budget-Ms: {budget_ms}",
        f"Content-Length: {len(body)}",
        f"X-Envelope: dest={destination}",
    ]
    if key:
        head.append(f"Idempotency-Key: {key}")
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=0.4) as connection:
            connection.settimeout(0.4)
            connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            response = http.client.HTTPResponse(connection)
            response.begin()
            response.read()
            return response.status
    except (OSError, http.client.HTTPException):
        return None


def send_event(port, event, kind, destination, key="", timeout=30.0):
    """Sends one event on a connection of its own. Returns (status, Retry-After), or None if the connection ended
    without an answer although the whole request was written. Raises OSError if the request could not be written."""
    body = b'{"boxes":2}'
    head = [
        "POST /events HTTP/1.1",
        f"Host: 127.0.0.1:{port}",
        "ce-specversion: 1.0",
        f"ce-id: {event}",
        "ce-source: /clinic",
        f"ce-type: {kind}",
        f"ce-clinic: {destination}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    if key:
        head.append(f"Idempotency-Key: {key}")
    with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
        connection.settimeout(timeout)
        connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        try:
            response = http.client.HTTPResponse(connection)
            response.begin()
            response.read()
        except TimeoutError:
            raise
        except (http.client.HTTPException, OSError):
            return None
        return response.status, response.getheader("Retry-After")


class Folder:
    """A temporary folder, removed at the end."""

    def __init__(self):
        self.path = tempfile.mkdtemp(prefix="marblefall-review-")

    def file(self, name, text):
        path = os.path.join(self.path, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def remove(self):
        shutil.rmtree(self.path, ignore_errors=True)


def plan_and_apply(folder, record, name, manifest, home):
    """Runs `marblefall plan` and `marblefall apply`."""
    file = folder.file(f"{name}.toml", manifest)
    plan = os.path.join(folder.path, f"{name}.plan")
    for arguments in (["plan", file, home, "--out", plan], ["apply", plan, home]):
        done = subprocess.run(
            [os.path.join(ROOT, PROGRAM)] + arguments, cwd=ROOT, capture_output=True, text=True, timeout=20
        )
        record.write(f"marblefall {arguments[0]} {name}: exit {done.returncode}")
        if done.returncode != 0:
            raise CannotRun(f"marblefall {arguments[0]}: {done.stdout}{done.stderr}")


class Daemon:
    """A daemon, started by the deploy file's command with the arguments `run HOME`."""

    def __init__(self, folder, record, name, home, ports):
        self.record, self.name = record, name
        self.log_path = os.path.join(folder.path, f"{name}.log")
        self.log = open(self.log_path, "a", encoding="utf-8")
        command = f"exec {PROGRAM} run {home}"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        record.write(f"daemon {name}: started, process {self.process.pid}")
        deadline = time.monotonic() + 15
        for port in ports:
            while not is_ready(port):
                if time.monotonic() > deadline or self.process.poll() is not None:
                    self.kill()
                    raise CannotRun(f"daemon {name} did not get ready")
                time.sleep(0.02)
        record.write(f"daemon {name}: ready")

    def terminate(self, limit=12.0):
        """SIGTERM, as at a planned restart. Waits for the end; SIGKILL follows after `limit` seconds."""
        self.record.write(f"daemon {self.name}: SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(limit)
        except subprocess.TimeoutExpired:
            self.kill()
        self.record.write(f"daemon {self.name}: ended with {self.process.returncode}")

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()

    def copy_log(self, last=25):
        """Copies the lines about a panic, and the last ones, into the record."""
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            lines = log.read().splitlines()
        shown = set(range(len(lines) - last, len(lines)))
        for number, line in enumerate(lines):
            if "panicked" in line or "ended unexpectedly" in line:
                shown |= {number, number + 1}
        for number, line in enumerate(lines):
            if number in shown:
                self.record.write(f"log of {self.name}: {line}")


def is_ready(port):
    try:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
        connection.request("GET", "/ready", headers={"Connection": "close"})
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False


def main(folder, case):
    """Runs a case: `case(record, folder, trouble)` returns the list of what broke the rule. Exits with 0, 1 or 2."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begins, {'with' if trouble else 'without'} the disruption")
    temporary = Folder()
    try:
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CannotRun("the program is not built")
        broken = case(record, temporary, trouble)
    except CannotRun as error:
        record.write(f"cannot run: {error}")
        print(f"cannot run: {error}")
        code = 2
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"cannot run: {type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}")
        code = 2
    else:
        for line in broken:
            record.write(f"BROKEN: {line}")
        text = "the rule was broken" if broken else "the rule held"
        record.write(f"{text}")
        print(text + "".join(f"\n  {line}" for line in broken[:5]))
        code = 1 if broken else 0
    finally:
        temporary.remove()
    sys.stdout.flush()
    os._exit(code)
