"""A worker fails a part of its requests with 503 after it has run them."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from stand import STABLE_WINDOW_S, run_case  # noqa: E402

REQUESTS = 240
FAILING_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


def case(site, trouble):
    site.manifest(3, [{"name": "rink", "api_keys": ["key-rink"]}])
    site.start()
    if not site.wait_ready(15):
        return None
    time.sleep(STABLE_WINDOW_S)
    failing = site.workers[0]
    failed = []

    def fails(run):
        # Its status check stays good. The answer has no X-Eelgrassmill-Not-Executed.
        if trouble and len(failed) + 1 <= FAILING_SHARE * len(failing.runs):
            failed.append(run["id"])
            return 503
        return 200

    failing.on_run = fails
    answers = {}
    for n in range(REQUESTS):
        rid = f"p{n:03}"
        answer = site.request(site.nodes[n % 3], "refund", rid, "key-rink")
        answers[rid] = answer.status if answer else None
        time.sleep(0.03)
    ran = {run["id"] for run in site.runs()}
    promised = [rid for rid, status in answers.items() if status in PROMISES and rid in ran]
    site.record.say(f"{len(failed)} of {len(failing.runs)} requests failed at {failing.id}")
    site.record.say(f"unsafe requests that have run and were answered {PROMISES}: {promised}")
    if not ran:
        return None
    return len(promised) > 0


# One worker of seven is within the share of 0.15.
run_case(__file__, case, workers=7)
