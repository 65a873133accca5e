"""Clinics' endpoints are numbered through the file. A clinic is added at its top, and the names move on by one."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import CannotRun, Daemon, Partner, free_port, main, plan_and_apply, send_event  # noqa: E402

CLINICS = ["bole", "kazanchis", "piassa", "merkato", "gerji", "lideta"]
NEW_CLINIC = "arada"
ANSWER_S = 0.25
CLIENTS = 3
BEFORE_S = 3.0
AFTER_S = 5.0


def manifest(port, partners, names):
    """Returns the operators' file for clinics in this order; their endpoints are numbered ep-1, ep-2 and so on."""
    text = """
[class.refill-status]
repeats = "free"
worth = 2
wanted_ms = 1000
give_up_ms = 5000
"""
    for number, name in enumerate(names, start=1):
        text += f"""
[destination.{name}]
mode = "binary"
path = "/notices"
rate = 20
endpoints = [{{ name = "ep-{number}", address = "{partners[name].address}" }}]
"""
    return text + f"""
[instance.clinics-1]
events = {{ listen = "127.0.0.1:{port}", path = "/events", destination_attribute = "clinic", types = {{ status = "refill-status" }} }}
"""


def case(record, folder, trouble):
    partners = {name: Partner(name, record, lambda call: (ANSWER_S, 204, [])) for name in CLINICS + [NEW_CLINIC]}
    home, port = os.path.join(folder.path, "home"), free_port()
    plan_and_apply(folder, record, "first", manifest(port, partners, CLINICS), home)
    daemon = Daemon(folder, record, "one", home, [port])
    lost, answered, ending, lock = [], [0], threading.Event(), threading.Lock()

    def client(name, client_number):
        number = 0
        while not ending.is_set():
            number += 1
            event = f"{name}-{client_number}-{number}"
            try:
                answer = send_event(port, event, "status", name)
            except OSError as error:
                # Nothing, or not all, was written: the client's request was not handed in.
                record.write(f"client: event {event} not handed in: {error}")
                time.sleep(0.2)
                continue
            with lock:
                if answer is None:
                    record.write(f"client: event {event} written, connection ended without an answer")
                    lost.append(event)
                else:
                    answered[0] += 1
                    record.write(f"client: event {event} answered {answer[0]}")
            # The clients of a clinic are out of step with each other.
            time.sleep(0.02 + 0.05 * client_number)

    threads = [threading.Thread(target=client, args=(name, number)) for name in CLINICS for number in range(CLIENTS)]
    try:
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_S)
        if answered[0] < len(CLINICS) or lost:
            raise CannotRun("the traffic before the change was not answered")
        if trouble:
            plan_and_apply(folder, record, "second", manifest(port, partners, [NEW_CLINIC] + CLINICS), home)
        time.sleep(AFTER_S)
    finally:
        ending.set()
        for thread in threads:
            thread.join(timeout=31)
        daemon.terminate()
        daemon.copy_log()
        daemon.kill()
    record.write(f"{answered[0]} events answered, {len(lost)} not")
    # An event that its partner has run was read and passed on: its request was handed in.
    return [
        f"event {event}: its partner ran it, and its client's connection ended without an answer"
        for event in lost
        if partners[event.split("-")[0]].runs_of(event) > 0
    ]


main(HERE, case)
