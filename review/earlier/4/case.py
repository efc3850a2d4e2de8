"""Workers read long requests slowly; the machines hold them in memory without a bound."""

import asyncio
import os
import shutil
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "common"))
from stand import Node, Record, Site, call, headers, manifest  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260
# Of 4,194,304 that the manifest allows.
BODY = 4_190_000
# Requests a second at one machine; the sheet has 166 for 7 machines.
RATE = 13
# Bytes a second at which a worker reads one request.
READ_RATE = 600_000
MODELS = {"m1": {"size": 2, "share": 1.0, "pace": 1.0, "load_s": 2.0, "warm_s": 0.5}}
LONGEST_S = 90


async def play(record, folder):
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: record.say("stand-in: %s" % context.get("exception")))
    site = Site(record, MODELS)
    for i in range(3):
        await site.add_worker("d%d" % i, "desk", slots=6)
    for i in range(36):
        await site.add_worker("w%d" % i, "writer", "dom%d" % (i // 6), slots=26)
    await site.store.put("op", "config", manifest(3, MODELS))
    nodes = []
    for i in range(2):
        door = await site.store.listen()
        nodes.append(Node(folder, "n%d" % i, door, zone="z1"))
    seeds = [n.peers for n in nodes]
    body, counts, ends, peak = b"x" * BODY, {}, {n.name: 0 for n in nodes}, [0.0, 0.0]
    running = {"on": True}
    try:
        for node in nodes:
            await node.start(seeds, True)
        if not await site.until("2 nodes are ready", lambda: all_ready(nodes), 10):
            return 2
        if not await site.until("12 groups are open", lambda: len(site.open_heads()) >= 12, 15):
            return 2

        async def one(k, node):
            rid = "c%d" % k
            site.requests += 1
            try:
                status, _, _ = await asyncio.wait_for(
                    call(node.ports[0], "POST", "/write/x", headers(rid, 8000, "m1"), body), 9)
            except Exception as err:  # noqa: BLE001
                status = type(err).__name__
            counts[status] = counts.get(status, 0) + 1
            record.say("%s by %s: %s" % (rid, node.name, status))

        async def traffic():
            k, due = 0, time.monotonic()
            while running["on"]:
                for node in nodes:
                    k += 1
                    asyncio.ensure_future(one(k, node))
                due += 1 / RATE
                await asyncio.sleep(max(0, due - time.monotonic()))

        async def platform(i, node):
            """Ends a process that exceeds its memory, and starts it again after a short delay."""
            while running["on"]:
                used = node.memory_mb()
                peak[i] = max(peak[i], used)
                if used > MEMORY_MB:
                    ends[node.name] += 1
                    record.say("%s holds %.0f MB of %d and is killed by the platform"
                               % (node.name, used, MEMORY_MB))
                    await node.kill()
                    await asyncio.sleep(1)
                    await node.start(seeds, False)
                await asyncio.sleep(0.05)

        if TROUBLE:
            for worker in site.workers.values():
                worker.read_rate = READ_RATE
            record.say("workers read %d bytes a second from here on" % READ_RATE)
        tasks = [asyncio.ensure_future(traffic())]
        tasks += [asyncio.ensure_future(platform(i, n)) for i, n in enumerate(nodes)]
        end = time.monotonic() + (LONGEST_S if TROUBLE else 40)
        while time.monotonic() < end and min(ends.values()) < 3:
            await asyncio.sleep(0.2)
        running["on"] = False
        record.say("ends by memory: %s; peak: %s MB; answers: %s"
                   % (ends, [round(p) for p in peak], counts))
        print(open(record.file.name).read().splitlines()[-1])
        return 1 if min(ends.values()) >= 3 else 0
    finally:
        running["on"] = False
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
