"""A planned restart of the daemon right after a change that restarts its instance; an endpoint hangs meanwhile."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import TROUBLE, CannotRun, Server, free_port, main, request  # noqa: E402

KILL_AFTER_S = 3.8      # SIGKILL comes no sooner than 3.7 s after SIGTERM
HANG_S = 12.0           # how long the bank takes calls and answers none
USUAL_S = 0.33          # the bank's usual pace


def manifest(port, endpoint, connect_ms):
    return f"""
[limits]
dial_ms = {connect_ms}

[class.payment]
repeats = "never"
wanted_ms = 4000
give_up_ms = 24000

[destination.bank]
mode = "binary"
path = "/events"
rate = 20
endpoints = [{{ name = "bank-1", address = "{endpoint}" }}]

[instance.first]
events = {{ listen = "127.0.0.1:{port}", path = "/events", destination_attribute = "partner", types = {{ payment = "payment" }} }}
"""


def play(case):
    state = {"hangs": False}

    def answer(call):
        what = f"id={call['fields'].get('ce-id')}"
        if state["hangs"]:
            case.record(f"bank: call {what}: hangs")
            time.sleep(HANG_S)
            return None
        time.sleep(USUAL_S)
        case.record(f"bank: call {what}: run, answered 200 after {USUAL_S} s")
        return 200, {}, b""

    bank = Server(case, "bank", answer)
    port, home = free_port(), case.path("home")
    case.apply(manifest(port, bank.address, 1500), home)
    daemon = case.start("daemon", ["run", home])
    case.wait_ready(port)

    answers = {}

    def submit(event):
        fields = {"ce-specversion": "1.0", "ce-id": event, "ce-source": "/office", "ce-type": "payment",
                  "ce-partner": "bank", "Content-Type": "application/json"}
        case.record(f"client: hands in {event}")
        answers[event] = request(port, "POST", "/events", fields, b'{"birr":100}', timeout=40.0)
        case.record(f"client: {event} got {answers[event]}")

    for number in range(4):
        submit(f"before-{number}")
    state["hangs"] = True
    clients = []
    for number in range(3):
        client = threading.Thread(target=submit, args=(f"payment-{number}",), daemon=True)
        client.start()
        clients.append(client)
        time.sleep(0.2)
    if TROUBLE:
        case.apply(manifest(port, bank.address, 1400), home)
        time.sleep(0.6)
    daemon.send_signal(signal.SIGTERM)
    case.record("SIGTERM to the daemon")
    end = time.time() + KILL_AFTER_S
    while time.time() < end and daemon.poll() is None:
        time.sleep(0.01)
    if daemon.poll() is None:
        case.record(f"SIGKILL to the daemon, {KILL_AFTER_S} s after SIGTERM")
        daemon.kill()
    daemon.wait()
    for client in clients:
        client.join(15.0)
    breaks = []
    for event, answer in answers.items():
        if event.startswith("payment") and answer[0] is None:
            breaks.append(f"the connection of {event}, whose last byte was written, ended with no answer")
    if len(answers) != 7:
        raise CannotRun("a client has neither an answer nor an end")
    return breaks


main(os.path.dirname(os.path.abspath(__file__)), play)
