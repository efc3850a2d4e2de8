"""The settings files of two machines change to a fraction; they are stopped and started in turn."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common"))
from stand import Node, Record, Site, call, headers, manifest  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEFORE = {"grace_s": 4}
AFTER = {"grace_s": 4.5 if TROUBLE else 5}
MODELS = {"m1": {"size": 3, "share": 1.0, "pace": 1.0, "load_s": 3.0, "warm_s": 0.5}}


async def play(record, folder):
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: record.say("stand-in: %s" % context.get("exception")))
    site = Site(record, MODELS)
    for i in range(3):
        await site.add_worker("d%d" % i, "desk", slots=6)
    await site.store.put("op", "config", manifest(3, MODELS))
    nodes = []
    for i in range(7):
        door = await site.store.listen()
        nodes.append(Node(folder, "n%d" % i, door, zone="z%d" % (i % 3)))
    seeds = [n.peers for n in nodes[4:]]
    try:
        for node in nodes:
            await node.start(seeds, True, BEFORE)
        if not await site.until("7 nodes are ready", lambda: all_ready(nodes), 10):
            return 2
        record.say("7 nodes are ready with %s" % BEFORE)
        ended = {}
        changed = nodes[:2]
        for node in changed:
            await node.kill(signal.SIGTERM)
            await asyncio.wait_for(node.process.wait(), 8)
            record.say("%s stopped after SIGTERM" % node.name)
            # The platform renders the template at every start and restarts a process that ends.
            for attempt in range(3):
                await node.start(seeds, False, AFTER)
                if await site.until("%s is ready" % node.name, node.is_ready, 4):
                    record.say("%s is ready with %s" % (node.name, AFTER))
                    break
                if not node.is_running():
                    code = node.process.returncode
                    ended[node.name] = ended.get(node.name, 0) + 1
                    record.say("%s ended by itself with code %d at its start with %s"
                               % (node.name, code, AFTER))
                await asyncio.sleep(0.5)
        served = 0
        for k in range(30):
            node, rid = changed[k % 2], "c%d" % k
            try:
                status, _, _ = await asyncio.wait_for(
                    call(node.ports[0], "GET", "/read/x", headers(rid, 1500)), 3)
            except Exception as err:  # noqa: BLE001
                status = type(err).__name__
            served += status == 200
            record.say("%s by %s: %s" % (rid, node.name, status))
        record.say("starts that failed: %s; served by these two afterwards: %d of 30" % (ended, served))
        print(open(record.file.name).read().splitlines()[-1])
        with open(os.path.join(folder, "n0.log")) as f:
            for line in f.read().splitlines():
                if "invalid" in line:
                    record.say("n0 said: " + line.replace(folder + os.sep, ""))
                    break
        return 1 if len(ended) >= 2 and min(ended.values()) >= 3 else 0
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
