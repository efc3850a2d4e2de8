"""One model worker as a process of its own. Its streams have neither a length nor chunks and end
with their channel.

Usage: worker.py ID DOMAIN STORE_PORT EVENTS LOG
"""

import asyncio
import base64
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from stand import Record, Site, Worker, call  # noqa: E402

MODELS = {"m1": {"size": 2, "share": 1.0, "pace": 1.0, "load_s": 1.0, "warm_s": 0.5}}


class RemoteStore:
    """Writes the worker's entry to the platform's store."""

    def __init__(self, port):
        self.port = port

    async def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        body = {"expect_rev": [], "delete": [],
                "puts": [{"table": table, "part": "", "key": key, "value": text}]}
        await call(self.port, "POST", "/-/rows-tx", {"Host": "store"}, json.dumps(body).encode())


class UnframedWorker(Worker):
    async def stream(self, rid, sign, writer):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close"]
        head += ["%s: %s" % kv for kv in sign.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for n in range(self.after + 1, self.site.events + 1):
            await asyncio.sleep(0.05)
            writer.write(("id: %d\ndata: piece %d of %s\n\n" % (n, n, rid)).encode())
            await writer.drain()
        self.site.record.say("end %s at %s" % (rid, self.id))
        writer.close()
        raise ConnectionError

    async def run(self, method, target, headers, body, writer):
        self.after = int(headers.get("last-event-id") or 0)
        await Worker.run(self, method, target, headers, body, writer)


async def main():
    wid, domain, port, events, log = sys.argv[1:6]
    site = Site(Record(log), MODELS, events=int(events))
    site.store = RemoteStore(int(port))
    worker = UnframedWorker(site, wid, "writer", domain, slots=26)
    # What a host holds in its memory survives a restart of its worker.
    worker.staged = ["m1"] if "." in wid else []
    site.workers[wid] = worker
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    await worker.start()
    await asyncio.sleep(118)


asyncio.run(main())
