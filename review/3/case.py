"""One setting of an instance is changed by plan and apply, while a clump of events waits for a healthy partner."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import CannotRun, Daemon, Partner, free_port, main, plan_and_apply, send_event  # noqa: E402

EVENTS = 7
ANSWER_S = 1.0
GIVE_UP_S = 5.0
# STANDING: up to half a second after its time an answer only earns nothing; PROTOCOL: every time limit is longer by 50 ms.
LATE_S = 0.5 + 0.05
APPLY_AFTER_S = 0.5
WAIT_S = 25.0


def manifest(port, partner, idle_ms):
    return f"""
[limits]
slots = 3
idle_ms = {idle_ms}

[class.refill-status]
repeats = "free"
worth = 2
wanted_ms = 1000
give_up_ms = {int(GIVE_UP_S * 1000)}

[destination.clinic-bole]
mode = "binary"
path = "/notices"
rate = 4
endpoints = [{{ name = "bole-1", address = "{partner.address}" }}]

[instance.clinics-1]
events = {{ listen = "127.0.0.1:{port}", path = "/events", destination_attribute = "clinic", types = {{ status = "refill-status" }} }}
"""


def case(record, folder, trouble):
    partner = Partner("clinic-bole", record, lambda call: (ANSWER_S, 204, []))
    home, port = os.path.join(folder.path, "home"), free_port()
    plan_and_apply(folder, record, "first", manifest(port, partner, 10000), home)
    daemon = Daemon(folder, record, "one", home, [port])
    results, lock = {}, threading.Lock()

    def client(event):
        sent = time.monotonic()
        try:
            answer = send_event(port, event, "status", "clinic-bole", timeout=WAIT_S)
            text = "connection ended without an answer" if answer is None else f"answered {answer[0]}"
        except TimeoutError:
            answer, text = None, f"no answer within {WAIT_S:.0f} s"
        with lock:
            results[event] = (time.monotonic() - sent, text)
        record.write(f"client: event {event}: {text} after {results[event][0]:.2f} s")

    events = [f"status-{number}" for number in range(1, EVENTS + 1)]
    threads = [threading.Thread(target=client, args=(event,)) for event in events]
    try:
        for thread in threads:
            thread.start()
        time.sleep(APPLY_AFTER_S)
        if not partner.calls:
            raise CannotRun("no event was read before the change")
        if trouble:
            plan_and_apply(folder, record, "second", manifest(port, partner, 9000), home)
        for thread in threads:
            thread.join(timeout=WAIT_S + 5)
    finally:
        daemon.terminate()
        daemon.copy_log()
        daemon.kill()
    record.write(f"runs at the partner: { {event: partner.runs_of(event) for event in events} }")
    return [
        f"event {event}: {text} after {after:.2f} s, its time was up after {GIVE_UP_S:.0f} s"
        for event, (after, text) in sorted(results.items())
        if after > GIVE_UP_S + LATE_S or not text.startswith("answered")
    ]


main(HERE, case)
