"""A courier's process is replaced under a burst of large messages, and the new process is killed and started again soon after."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from courier import Connection, Courier, Discovery, Site, member  # noqa: E402
from standins import CannotRun, Partner, main  # noqa: E402

PAYOUTS = 6
PAYOUT_BUDGET_S = 12.0
BURST_CLIENTS = 3
BURST_BODY = b"x" * 60000
BURST_PAUSE_S = 0.08
BURST_S = 1.9
KILL_AFTER_S = 4.0
START_AGAIN_AFTER_S = 0.6
SETTLE_S = 10.0


def message_class(name, effect, give_up_ms):
    return {
        "dedup_scope": "all",
        "effect": effect,
        "give_up_ms": give_up_ms,
        "importance": 2.0,
        "late_value": 0.4,
        "name": name,
        "promise_ms": 2500.0,
        "stream": False,
        "window_ms": 6000.0,
    }


CLASSES = [message_class("payout", "side_effect", PAYOUT_BUDGET_S * 1000), message_class("statement", "pure", 5000.0)]


def case(record, folder, trouble):
    bank = Partner("bank", record, lambda call: (0.2, 200, []))
    archive = Partner("archive", record, lambda call: (0.02, 200, []))
    members = [member("s-bank", bank.address, 1, 50.0), member("s-archive", archive.address, 2, 200.0)]
    discovery = Discovery(record, members)
    site = Site(folder, record, discovery, members, CLASSES)
    courier = Courier(site)
    taken_on, lock, ending = {}, threading.Lock(), threading.Event()

    def note(message, status):
        record.write(f"client: {message} answered {status}")
        if status in (200, 202):
            with lock:
                taken_on[message] = time.monotonic()

    def burst(client):
        connection, number = Connection(site.port), 0
        while not ending.is_set():
            number += 1
            message = f"statement-{client}-{number}"
            note(message, connection.hand_in(message, "statement", 2, 5000, BURST_BODY))
            time.sleep(BURST_PAUSE_S)
        connection.close()

    try:
        # Clients that keep their connections; each has handed in a message before, and one of them rests from then on.
        payers = [Connection(site.port) for _ in range(PAYOUTS + 1)]
        for number, payer in enumerate(payers):
            note(f"before-{number}", payer.hand_in(f"before-{number}", "payout", 1, int(PAYOUT_BUDGET_S * 1000), b"pay"))
        time.sleep(0.5)
        old = courier
        if trouble:
            courier = Courier(site)
            old.terminate()
        time.sleep(0.1)
        threads = [threading.Thread(target=burst, args=(client,)) for client in range(BURST_CLIENTS)]
        begun = time.monotonic()
        for thread in threads:
            thread.start()
        payouts = [f"payout-{number}" for number in range(1, PAYOUTS + 1)]
        for payout, payer in zip(payouts, payers):
            note(payout, payer.hand_in(payout, "payout", 1, int(PAYOUT_BUDGET_S * 1000), b"pay"))
        if not any(payout in taken_on for payout in payouts):
            raise CannotRun("no payout was taken on")
        time.sleep(max(0.0, begun + BURST_S - time.monotonic()))
        ending.set()
        for thread in threads:
            thread.join(timeout=5)
        if trouble:
            old.end()
            old.copy_log(["handed-over"])
        time.sleep(max(0.0, begun + KILL_AFTER_S - time.monotonic()))
        record.write(f"runs at the bank: { {payout: bank.runs_of(payout) for payout in payouts} }")
        record.write(f"state folder: {sorted(os.listdir(site.state))}")
        if trouble:
            record.write("courier: SIGKILL")
            courier.kill()
            time.sleep(START_AGAIN_AFTER_S)
            courier = Courier(site)
        time.sleep(SETTLE_S)
    finally:
        ending.set()
        courier.terminate()
        courier.end()
        courier.copy_log(["takes-over", "offered="])
    runs = {payout: bank.runs_of(payout) for payout in payouts}
    record.write(f"runs at the bank: {runs}")
    return [f"{payout}: its partner ran it {count} times" for payout, count in runs.items() if count > 1]


main(HERE, case)
