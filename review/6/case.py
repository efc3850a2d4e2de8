"""Entries of another writer, whose keys have spaces, on the border of two pages of the list."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from stand import RECOVER_S, STABLE_WINDOW_S, run_case  # noqa: E402

ENTRIES = 20
ENTRY_BYTES = 48_000
ROW_BYTES = 65_536


def ask(site, name, count):
    served = 0
    for n in range(count):
        answer = site.request(site.nodes[n % 3], "rebook", f"{name}{n:03}", "key-rink")
        served += bool(answer and answer.status == 200 and answer.whole)
        time.sleep(0.05)
    return served


def case(site, trouble):
    site.manifest(3, [{"name": "rink", "api_keys": ["key-rink"]}])
    site.start()
    if not site.wait_ready(15):
        return None
    time.sleep(STABLE_WINDOW_S)
    before = ask(site, "a", 30)
    assert ENTRY_BYTES <= ROW_BYTES
    for day in range(1, ENTRIES + 1):
        # Without the disruption, the same entries stand in a table that isn't the workers'.
        table = "servers" if trouble else "notes"
        site.store.put(table, f"notes of 2026-12-{day:02}", os.urandom(ENTRY_BYTES))
    site.record.say(f"another writer has written {ENTRIES} entries of {ENTRY_BYTES} bytes")
    time.sleep(2)
    beside = ask(site, "b", 30)
    # The final fault comes right after a manifest was acknowledged.
    site.manifest(8, [{"name": "rink", "api_keys": ["key-rink"]}])
    for node in site.nodes:
        node.kill()
    site.record.say("all processes are killed")
    time.sleep(1.2)
    site.start(bootstrap=False)
    back = time.monotonic()
    site.record.say("all machines are back")
    time.sleep(RECOVER_S + 1)
    after = ask(site, "c", 60)
    ready = [node.is_ready() for node in site.nodes]
    pages = [read for read in site.store.reads if read[0] == "servers" and read[1]]
    site.record.say(f"served: {before} of 30 before, {beside} of 30 beside the entries, "
                    f"{after} of 60 sent later than {RECOVER_S:.0f} s after the machines were back")
    site.record.say(f"{time.monotonic() - back:.0f} s after that: ready {ready}; "
                    f"further pages of the list that were ever asked for: {len(pages)}")
    if before < 8 or beside < 8:
        return None
    return after * 4 < 60


run_case(__file__, case)
