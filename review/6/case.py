"""Two events with one Idempotency-Key, a restart of the daemon, and both clients come again as they were told."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import TROUBLE, CannotRun, Server, free_port, main, request  # noqa: E402

DELAY_S = 0.3           # between the two clients of one order
SHUT_S = 5.0            # the bank and the pharmacy are shut so long, and say so
WINDOW_S = 6.0          # the pharmacy drops a repeat by its key for so long
# For each class: its type, its destination, its key, and how long the second client waits after it was refused.
ORDERS = {"payment": ("bank", "payment-4711", 1.5), "refill-order": ("pharmacy", "order-0815", 10.0)}


def manifest(port, endpoint):
    return f"""
[class.payment]
repeats = "never"           # must never take effect twice
wanted_ms = 4000
give_up_ms = 24000

[class.refill-order]
repeats = "keyed"
window_ms = {int(WINDOW_S * 1000)}
wanted_ms = 2500
give_up_ms = 24000

[destination.bank]
mode = "binary"
path = "/bank"
rate = 20
endpoints = [{{ name = "bank-1", address = "{endpoint}" }}]

[destination.pharmacy]
mode = "binary"
path = "/pharmacy"
rate = 20
endpoints = [{{ name = "pharmacy-1", address = "{endpoint}" }}]

[instance.first]
events = {{ listen = "127.0.0.1:{port}", path = "/events", destination_attribute = "partner", types = {{ payment = "payment", refill-order = "refill-order" }} }}
"""


def play(case):
    effects, first_run = {kind: [] for kind in ORDERS}, {}
    state = {"opens_at": time.time() + 3600}

    def answer(call):
        fields = call["fields"]
        event, kind, key = fields.get("ce-id"), fields.get("ce-type"), fields.get("idempotency-key")
        wait = state["opens_at"] - time.time()
        if wait > 0:
            case.record(f"{fields.get('ce-partner')}: call {event} key {key}: answered 429, Retry-After {wait:.3f}: never run")
            return 429, {"Retry-After": f"{wait:.3f}"}, b""
        if kind == "refill-order" and time.time() - first_run.setdefault(key, time.time()) < WINDOW_S and effects[kind]:
            case.record(f"pharmacy: call {event} key {key}: a repeat within {WINDOW_S} s, dropped, answered 200")
            return 200, {}, b""
        effects[kind].append(event)
        case.record(f"{fields.get('ce-partner')}: call {event} key {key}: run, answered 200")
        return 200, {}, b""

    partner = Server(case, "partner", answer)
    port, home = free_port(), case.path("home")
    case.apply(manifest(port, partner.address), home)
    daemon = case.start("daemon", ["run", home])
    case.wait_ready(port)

    def submit(kind, event):
        destination, key, _ = ORDERS[kind]
        fields = {"ce-specversion": "1.0", "ce-id": event, "ce-source": "/office", "ce-type": kind,
                  "ce-partner": destination, "Idempotency-Key": key, "Content-Type": "application/json"}
        case.record(f"client: hands in {event} with key {key}")
        status, head = request(port, "POST", "/events", fields, b'{"birr":100}', timeout=40.0)
        wait = head.get("retry-after") if status else head
        case.record(f"client: {event} answered {status} (Retry-After: {wait})")
        return status, wait

    def client(kind, event, wait_s):
        """Hands in an event. If it is refused, comes again once, after at least the time that it was told."""
        status, wait = submit(kind, event)
        if status in (429, 503):
            time.sleep(max(float(wait or 0), wait_s))
            status, wait = submit(kind, event)
        answers[event] = status

    answers, clients = {}, []
    state["opens_at"] = time.time() + SHUT_S
    for number, suffix in enumerate(("first", "second")):
        for kind in ORDERS:
            wait_s = ORDERS[kind][2] if number else 1.0
            clients.append(threading.Thread(target=client, args=(kind, f"{kind}-{suffix}", wait_s), daemon=True))
            clients[-1].start()
        time.sleep(DELAY_S)
    if TROUBLE:
        case.end(daemon)
        daemon = case.start("daemon", ["run", home])
        case.wait_ready(port)
    for thread in clients:
        thread.join(60.0)
    if len(answers) != len(clients):
        raise CannotRun("a client has no answer")
    time.sleep(1.0)
    breaks = []
    for kind, events in effects.items():
        case.record(f"{kind}: {len(events)} effects for key {ORDERS[kind][1]}: {events}")
        if len(events) > 1:
            breaks.append(f"the {kind} with key {ORDERS[kind][1]} took effect {len(events)} times: {events}")
    if not all(effects.values()):
        raise CannotRun("a partner got no call that it could run")
    return breaks


main(os.path.dirname(os.path.abspath(__file__)), play)
