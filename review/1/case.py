"""All machines are killed; those that come back have seeds that are down."""

import asyncio
import os
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from stand import Node, Record, Site, call, free_ports, headers, manifest, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECOVER_S = 12
SEED_LAG_S = 3
# A worker is lost for good, and an empty one added, as often as on the site's calm days.
LOSS_EVERY_S = 2.7
WORKERS = 11
RUN_AFTER_S = 95
MODELS = {"m1": {"size": 3, "share": 1.0, "pace": 1.0, "load_s": 3.0, "warm_s": 0.5}}


async def attrition(site):
    n = WORKERS
    while True:
        await asyncio.sleep(LOSS_EVERY_S)
        joined = [w for w in site.workers.values() if w.domain and w.alive]
        joined.sort(key=lambda w: (w.group is None, w.born, w.id))
        site.record.say("worker %s is lost for good, w%d is added" % (joined[0].id, n))
        asyncio.ensure_future(joined[0].crash(3.6))
        await site.add_worker("w%d" % n, "writer", "dom1", slots=26)
        n += 1


async def play(record, folder):
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: record.say("stand-in: %s" % context.get("exception")))
    site = Site(record, MODELS)
    for i in range(3):
        await site.add_worker("d%d" % i, "desk", slots=6)
    for i in range(WORKERS):
        await site.add_worker("w%d" % i, "writer", "dom1", slots=26)
    await site.store.put("op", "config", manifest(3, MODELS))
    nodes = []
    for i in range(7):
        door = await site.store.listen()
        door.name, door.record = "n%d" % i, record
        nodes.append(Node(folder, "n%d" % i, door, zone="z%d" % (i % 3)))
    lost, kept = nodes[:3], nodes[3:]
    seeds = [n.peers for n in (lost if TROUBLE else kept[:3])]
    later_seeds = [n.peers for n in kept[:3]]
    try:
        for node in nodes:
            await node.start(seeds, True)
        if not await site.until("7 nodes are ready", lambda: all_ready(nodes), 10):
            return 2
        if not await site.until("3 groups are open", lambda: len(site.open_heads()) >= 3, 15):
            return 2
        results, live, clients = [], {"nodes": nodes}, []

        async def one(k):
            node = live["nodes"][k % len(live["nodes"])]
            rid, sent = "c%d" % k, now()
            site.requests += 1
            path, kind = ("/write/x", "m1") if k % 9 else ("/read/x", None)
            wait = 8 if kind else 1.5
            try:
                status, _, _ = await asyncio.wait_for(
                    call(node.ports[0], "POST" if kind else "GET", path,
                         headers(rid, int(wait * 1000), kind)), wait + 1)
            except Exception as err:  # noqa: BLE001
                status = type(err).__name__
            record.say("%s by %s sent at %.2f: %s" % (rid, node.name, sent, status))
            results.append((sent, status))

        async def traffic():
            k = 0
            while True:
                k += 1
                clients.append(asyncio.ensure_future(one(k)))
                await asyncio.sleep(0.1)

        sender = asyncio.ensure_future(traffic())
        await asyncio.sleep(6)
        fault = now()
        record.say("final fault: all processes are killed; %s do not come back"
                   % ", ".join(n.name for n in lost))
        for node in nodes:
            await node.kill()
        live["nodes"] = kept
        await asyncio.sleep(1.2)
        for node in kept:
            await node.start(seeds, False)
        back = now()
        record.say("%s are back with seeds %s" % (", ".join(n.name for n in kept),
                                                  "that are down" if TROUBLE else "that are up"))
        losses = asyncio.ensure_future(attrition(site))
        await asyncio.sleep(SEED_LAG_S)
        if TROUBLE:
            # The platform corrects the settings file, with a signal.
            for node in kept:
                await node.rewrite(later_seeds)
            record.say("the settings files name seeds that are up; SIGHUP to all")
        await asyncio.sleep(RUN_AFTER_S - SEED_LAG_S)
        end = now()
        sender.cancel()
        losses.cancel()
        before = [s for t, s in results if t < fault - 2]
        after = [s for t, s in results if back + RECOVER_S < t < end - 10]
        share = [sum(s == 200 for s in part) / max(1, len(part)) for part in (before, after)]
        record.say("served before the fault: %.2f of %d; later than recover_s: %.2f of %d"
                   % (share[0], len(before), share[1], len(after)))
        seat = site.store.get("eelgrassmill", "planner-seat")
        record.say("the row of the leader at the end: %s" % seat)
        print(open(record.file.name).read().splitlines()[-2])
        if share[0] < 0.25 or not after:
            return 2
        return 1 if share[1] < 0.25 else 0
    finally:
        for node in nodes:
            await node.kill()


async def all_ready(nodes):
    return all([await n.is_ready() for n in nodes])


def main():
    record = Record(os.environ.get("RECORD", os.path.join(HERE, "record.txt")))
    folder = tempfile.mkdtemp()
    try:
        code = asyncio.run(asyncio.wait_for(play(record, folder), 118))
    except Exception as err:  # noqa: BLE001
        record.say("could not run: %r" % err)
        code = 2
    shutil.rmtree(folder, ignore_errors=True)
    record.say("exit %d" % code)
    sys.stdout.flush()
    os._exit(code)


main()
