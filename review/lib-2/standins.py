"""Stand-ins and helpers of the second review's cases: endpoints, clients, a platform, and the project's own program.

Everything listens on 127.0.0.1. Every process that a case starts is ended by `Case.close`, by its id.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "marblefall")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run, so it says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def read_head(stream):
    """Reads a head. Returns its first line and its fields in lower case, or None at the end of the stream."""
    first = stream.readline()
    if not first:
        return None
    fields = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            return first.decode("latin-1").strip(), fields
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


class Server:
    """A small HTTP/1.1 server. `answer(call)` is called for each complete request and returns (status, fields, body), or
    None to close the connection without an answer."""

    def __init__(self, case, name, answer, port=None):
        self.case, self.name, self.answer = case, name, answer
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port or 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                first, fields = head
                body = stream.read(int(fields.get("content-length", "0")))
                call = {"first": first, "fields": fields, "body": body, "at": time.time(), "connection": connection}
                answer = self.answer(call)
                if answer is None:
                    return
                status, extra, text = answer
                lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in extra.items()]
                if status != 204:
                    lines.append(f"Content-Length: {len(text)}")
                connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


def request(port, method, path, fields, body=b"", timeout=30.0):
    """Sends one request on a new connection. Returns (status, fields), or the reason as (None, text)."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=5.0) as connection:
            connection.settimeout(timeout)
            lines = [f"{method} {path} HTTP/1.1", f"Host: 127.0.0.1:{port}", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = read_head(connection.makefile("rb"))
            if head is None:
                return None, "closed without an answer"
            return int(head[0].split(" ")[1]), head[1]
    except OSError as error:
        return None, str(error) or type(error).__name__


class Case:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, folder):
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.started = time.time()
        self.temporary = tempfile.mkdtemp(prefix="marblefall-review-")
        self.processes = []
        self.record(f"trouble: {TROUBLE}")

    def path(self, *names):
        return os.path.join(self.temporary, *names)

    def record(self, text):
        with self.lock:
            text = text.replace(self.temporary, "TMP").replace(ROOT, ".")
            self.record_file.write(f"{time.time() - self.started:8.3f} {text}\n")
            self.record_file.flush()

    def start(self, name, arguments, environment=None):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        log = open(self.path(f"{name}.log"), "ab")
        command = ["/bin/sh", "-c", 'exec target/release/marblefall "$@"', "marblefall"] + arguments
        process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                   env={**os.environ, **(environment or {})})
        self.processes.append(process)
        self.record(f"started {name} (process {process.pid}): marblefall {' '.join(arguments)}")
        return process

    def run(self, arguments, timeout=30, may_fail=False):
        done = subprocess.run([PROGRAM] + arguments, cwd=ROOT, stdin=subprocess.DEVNULL, capture_output=True,
                              text=True, timeout=timeout)
        output = (done.stdout + done.stderr).strip()
        self.record(f"ran marblefall {' '.join(arguments)}: exit {done.returncode}")
        for line in output.splitlines()[-12:]:
            self.record(f"    {line}")
        if done.returncode != 0 and not may_fail:
            raise CannotRun(f"{arguments[0]} failed: {output}")
        return done.returncode, output

    def apply(self, manifest, home, *more, may_fail=False):
        """Plans and applies a manifest."""
        number = len(os.listdir(self.temporary))
        file, plan = self.path(f"manifest-{number}.toml"), self.path(f"plan-{number}.plan")
        with open(file, "w") as out:
            out.write(manifest)
        self.run(["plan", file, home, "--out", plan])
        return self.run(["apply", plan, home, *more], may_fail=may_fail)

    def wait_ready(self, port, path="/ready", seconds=15.0):
        end = time.time() + seconds
        while time.time() < end:
            status, _ = request(port, "GET", path, {"Connection": "close"}, timeout=1.0)
            if status == 200:
                self.record(f"ready at port {port}")
                return
            time.sleep(0.05)
        raise CannotRun(f"nothing is ready at port {port}")

    def end(self, process, number=signal.SIGTERM, seconds=12.0):
        process.send_signal(number)
        self.record(f"sent signal {int(number)} to process {process.pid}")
        try:
            process.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            self.record(f"process {process.pid} had to be killed")
        self.record(f"process {process.pid} has ended")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for name in sorted(os.listdir(self.temporary)):
            if name.endswith(".log"):
                with open(self.path(name), errors="replace") as log:
                    lines = log.read().replace(self.temporary, "TMP").replace(ROOT, ".").splitlines()
                self.record_file.write(f"--- {name}, the last {min(len(lines), 80)} lines\n")
                self.record_file.writelines(line[:300] + "\n" for line in lines[-80:])
        self.record_file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, play):
    """Plays a case. `play(case)` returns the list of breaks that were seen."""
    def stop(*_):
        raise CannotRun("the case was stopped before its end")

    signal.signal(signal.SIGTERM, stop)
    case = Case(folder)
    try:
        breaks = play(case)
        code = BROKEN if breaks else HELD
        for text in breaks:
            case.record(f"BROKEN: {text}")
    except (CannotRun, OSError, subprocess.SubprocessError) as error:
        case.record(f"cannot run: {error!r}")
        breaks, code = [repr(error)], NOT_RUN
    case.record(f"result: {code}")
    case.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code], *breaks, sep="\n  ")
    sys.exit(code)
