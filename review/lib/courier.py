"""A courier on the platform: its configuration, discovery with the place for notices, and its processes."""

import http.client
import http.server
import json
import os
import signal
import socket
import subprocess
import threading
import time

from standins import PROGRAM, ROOT, CannotRun, free_port


class Discovery:
    """The agent: the list, a watch of it that has nothing new, and notices, answered 204 at once."""

    def __init__(self, record, members):
        self.record, self.notices, self.lock = record, {}, threading.Lock()
        self.list = json.dumps({"revision": 41, "complete": True, "members": members}).encode()
        discovery = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                if "follow" not in self.path:
                    self.send_response(200)
                    self.send_header("Content-Length", str(len(discovery.list)))
                    self.end_headers()
                    self.wfile.write(discovery.list)
                    return
                self.send_response(200)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                try:
                    self.chunk(discovery.list + b"\n")
                    while True:
                        time.sleep(2)
                        self.chunk(b"\n")
                except OSError:
                    self.close_connection = True

            def chunk(self, content):
                self.wfile.write(b"%x\r\n%s\r\n" % (len(content), content))
                self.wfile.flush()

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                for line in body.decode().splitlines():
                    discovery.note(json.loads(line))
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


def member(name, address, destination, rate):
    return {
        "id": name,
        "host_port": address,
        "locality": "north",
        "flavor": "clinic",
        "cell": destination,
        "phase": "SERVING",
        "size": rate,
        "up_since_ms": 0,
    }


def settings(classes):
    """The settings of the wire page, for one kind of destination and one zone."""
    return {
        "callers": {"marks_retry": True},
        "caps": {
            "conn_idle_ms": 10000.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "dial_timeout_ms": 1500.0,
            "max_attempts": 8,
            "max_open": 51,
            "max_retry_after_ms": 3000.0,
            "may_cancel": True,
            "peer_messages": False,
            "probes": False,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "classes": classes,
        "customers": [],
        "domain": {"kind_apart": [False], "late": "line", "per_call": [1], "toll": [0.0], "turned_away_price": 0.03, "workers": 9},
        "family": "deliver",
        "host_types": ["clinic"],
        "locality": "north",
        "my_number": 0,
        "over_share_worth": 0.1,
        "peers_total": 1,
        "prices": {},
        "registry_mode": "automatic",
        "reporting": {"how": "off", "names": []},
        "rules": {
            "answer_slack_ms": 20.0,
            "cold_from": 0.27,
            "cold_ms": 10000.0,
            "fall_multiple": 1.5,
            "must_ask_in_ms": 10000.0,
            "stop_sending_within_ms": 250.0,
            "tip_after_ms": 2000.0,
        },
        "stage": 0,
        "tick_ms": 5.0,
        "tiers": ["partner-systems"],
        "weights": "rough",
        "worth_by": "request",
        "zones": ["north"],
    }


class Site:
    """What all processes of one courier share."""

    def __init__(self, folder, record, discovery, members, classes):
        self.folder, self.record, self.discovery = folder, record, discovery
        self.members, self.settings, self.port = members, settings(classes), free_port()
        self.state = os.path.join(folder.path, "state")
        os.mkdir(self.state)
        self.processes = 0


class Courier:
    """One process of the courier, started by the deploy file's command. Its second address is its own."""

    def __init__(self, site):
        site.processes += 1
        self.record, self.name = site.record, f"process {site.processes}"
        mgmt = f"127.0.0.1:{free_port()}"
        self.mgmt = int(mgmt.rpartition(":")[2])
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{site.port}",
            "discovery": site.discovery.address,
            "seed": "%016x" % (0x8C1F30D27A5BE964 + site.processes),
            "mgmt": mgmt,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": {"revision": 41, "complete": True, "members": site.members},
            "settings": site.settings,
        }
        path = site.folder.file(f"config-{site.processes}.json", json.dumps(config))
        environment = dict(
            os.environ,
            RELAY_NAME="n0",
            RELAY_LISTEN=config["listen"],
            RELAY_DISCOVERY=config["discovery"],
            RELAY_STATE=site.state,
            RELAY_CONFIG=path,
            RELAY_MGMT=mgmt,
            TMPDIR=site.folder.path,
        )
        self.log_path = os.path.join(site.folder.path, f"{self.name}.log")
        self.log = open(self.log_path, "w", encoding="utf-8")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"exec {PROGRAM}"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write(f"courier: {self.name} started")
        deadline = time.monotonic() + 6
        while not self.says_yes():
            if time.monotonic() > deadline or self.process.poll() is not None:
                self.kill()
                raise CannotRun(f"{self.name} did not get ready")
            time.sleep(0.02)
        self.record.write(f"courier: {self.name} says yes")

    def says_yes(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.mgmt, timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def terminate(self):
        self.record.write(f"courier: SIGTERM to {self.name}")
        self.terminated_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    def end(self):
        """Waits for the end after SIGTERM. SIGKILL comes 3.7 s after SIGTERM."""
        try:
            self.process.wait(max(0.0, self.terminated_at + 3.7 - time.monotonic()))
            self.record.write(f"courier: {self.name} ended with {self.process.returncode}")
        except subprocess.TimeoutExpired:
            self.record.write(f"courier: SIGKILL to {self.name}")
        self.kill()

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()

    def copy_log(self, words):
        """Copies the log lines with any of these words into the record."""
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            for line in log.read().splitlines():
                if any(word in line for word in words):
                    self.record.write(f"log of {self.name}: {line}")


class Connection:
    """A client's connection, which is kept between requests and opened again when the courier has closed it."""

    def __init__(self, port):
        self.port, self.socket = port, None

    def close(self):
        if self.socket:
            self.socket.close()
            self.socket = None

    def hand_in(self, message, kind, destination, budget_ms, body, key=""):
        """Returns the status, or None without an answer in 400 ms. A request that crossed the end of a resting
        connection is sent once more on a new one."""
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
        request = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        for _ in range(2):
            rested = self.socket is not None
            try:
                if self.socket is None:
                    self.socket = socket.create_connection(("127.0.0.1", self.port), timeout=0.4)
                    self.socket.settimeout(0.4)
                self.socket.sendall(request)
                response = http.client.HTTPResponse(self.socket)
                response.begin()
                response.read()
                if (response.getheader("Connection") or "").lower() == "close":
                    self.close()
                return response.status
            except TimeoutError:
                self.close()
                return None
            except (OSError, http.client.HTTPException):
                self.close()
                if not rested:
                    return None
        return None
