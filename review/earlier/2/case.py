"""After all machines were killed, one comes back as a new one, and its seeds are down."""

import asyncio
import os
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common"))
from stand import Node, Record, Site, call, free_ports, headers, manifest, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECOVER_S = 12
SEED_LAG_S = 3
# A worker is lost for good, and an empty one added, as often as on the site's calm days.
LOSS_EVERY_S = 2.7
WORKERS = 9
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
    lost, kept = nodes[0], nodes[1:]
    seeds = [n.peers for n in kept[:3]]
    down = ["127.0.0.1:%d" % p for p in free_ports(3)]
    try:
        for node in nodes:
            await node.start(seeds, True)
        if not await site.until("7 nodes are ready", lambda: all_ready(nodes), 10):
            return 2
        if not await site.until("2 groups are open", lambda: len(site.open_heads()) >= 2, 15):
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
        record.say("final fault: all processes are killed; %s is gone for good" % lost.name)
        for node in nodes:
            await node.kill()
        door = await site.store.listen()
        door.name, door.record = "n7", record
        new = Node(folder, "n7", door, zone=lost.zone)
        nodes.append(new)
        live["nodes"] = kept + [new]
        await asyncio.sleep(1.2)
        for node in kept:
            await node.start(seeds, False)
        await new.start(down if TROUBLE else seeds, False)
        back = now()
        if not await site.until("all are back", lambda: all_ready(live["nodes"]), 10):
            return 2
        record.say("the others are back with seeds that are up; n7 comes at another address with "
                   "seeds that are %s" % ("down" if TROUBLE else "up"))
        losses = asyncio.ensure_future(attrition(site))
        await asyncio.sleep(SEED_LAG_S)
        if TROUBLE:
            # The platform corrects the settings file, with a signal.
            await new.rewrite(seeds)
            record.say("the settings file of n7 names seeds that are up; SIGHUP to it")
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
