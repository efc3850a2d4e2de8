"""Stand-ins for the platform of a small deployment: store, workers, nodes and callers.

One asyncio process, loopback addresses and the real clock only. The nodes are the project's own
program, started with the command of the deploy file and settings rendered from its template.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "eelgrassmill-adapter")
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


GIVEN = set()


def free_ports(count):
    """Ports below those that the system gives to outgoing connections."""
    ports, first = [], 20000 + os.getpid() % 60 * 200
    while len(ports) < count:
        port = random.randrange(first, first + 200)
        if port in GIVEN:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        GIVEN.add(port)
        ports.append(port)
    return ports


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w")

    def say(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def answer(status, body=b"", headers=None, close=False):
    reason = {200: "OK", 202: "Accepted"}.get(status, "Status")
    head = ["HTTP/1.1 %d %s" % (status, reason), "Content-Length: %d" % len(body)]
    for name, value in (headers or {}).items():
        head.append("%s: %s" % (name, value))
    if close:
        head.append("Connection: close")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def query_of(target):
    path, _, query = target.partition("?")
    pairs = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
    return path, pairs


class Store:
    """Rows with versions, conditional transactions and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.ver = 0
        self.changed = asyncio.Condition()
        self.era = 0

    async def listen(self):
        """A further address of the store; `door.mode` is `ok` or `busy`."""
        door = Door(self)
        door.server = await asyncio.start_server(door.serve, "127.0.0.1", 0, limit=1 << 22)
        door.address = "127.0.0.1:%d" % door.server.sockets[0].getsockname()[1]
        return door

    async def put(self, table, key, value):
        await self.put_raw(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    async def put_raw(self, table, key, value):
        self.ver += 1
        self.rows[(table, key)] = (value, self.ver)
        self.changes.append((self.ver, table, key))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, table, key):
        if self.rows.pop((table, key), None) is None:
            return
        self.ver += 1
        self.changes.append((self.ver, table, key))
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return dict(self.rows), list(self.changes), self.ver

    async def restore(self, copy):
        """Comes back from a copy: what was written since is gone, versions are given out again."""
        rows, changes, ver = copy
        self.rows, self.changes, self.ver = dict(rows), list(changes), ver
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    def get(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def row(self, table, key):
        value, ver = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def since(self, table, since):
        last = {}
        for ver, t, key in self.changes:
            if t == table and ver > since:
                last[key] = ver
        found = []
        for key, ver in sorted(last.items(), key=lambda kv: kv[1]):
            if (table, key) in self.rows:
                found.append(self.row(table, key))
            else:
                found.append({"table": table, "part": "", "key": key, "ver": ver, "removed": True})
        return found

    async def call(self, method, target, body):
        path, q = query_of(target)
        stamp = {"now_ms": int(now() * 1000) + 1}
        if path == "/-/rows-get":
            keys = sorted(k for t, k in self.rows if t == q["table"])
            start = q.get("from", "").replace("%00", "\0")
            keys = [k for k in keys if k >= start]
            limit = int(q.get("limit", "500"))
            rows = [self.row(q["table"], k) for k in keys[:limit]]
            return 200, dict(stamp, rows=rows, has_more=len(keys) > limit, ver=self.ver)
        if path == "/-/rows-feed":
            since, end = int(q["since_rev"]), time.monotonic() + int(q.get("wait_ms", "0")) / 1000
            if since > self.ver:
                return 410, dict(stamp, ver=self.ver)
            era = self.era
            while True:
                if self.era != era:
                    return 503, {}
                rows = self.since(q["table"], since)
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, dict(stamp, rows=rows, ver=self.ver)
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/rows-tx":
            tx = json.loads(body)
            for cond in tx.get("expect_rev", []):
                row = self.rows.get((cond["table"], cond["key"]))
                if (row[1] if row else 0) != cond["ver"]:
                    return 412, dict(stamp, rows=[], ver=self.ver)
            for put in tx.get("puts", []):
                await self.put_raw(put["table"], put["key"], put["value"])
            return 200, dict(stamp, ver=self.ver)
        return 404, {}


class Door:
    def __init__(self, store):
        self.store, self.mode = store, "ok"
        self.name, self.record = "", None

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                if self.mode == "busy":
                    status, out = 503, {}
                else:
                    status, out = await self.store.call(method, target, body)
                    if self.mode == "busy":
                        status, out = 503, {}
                if self.record and target.startswith("/-/rows-tx"):
                    self.record.say("store: transaction of %s: %d" % (self.name, status))
                head = {"Content-Type": "application/json", "Store-Era": str(self.store.era)}
                writer.write(answer(status, json.dumps(out).encode(), head))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def settings(node, zone, ports, seeds, store, first_start, bounds=None):
    """Renders `deploy/settings.ini` as the platform does, for the fields that it uses."""
    b = {"retry_window_s": 10, "retry_ratio": 0.2, "retry_slack": 132, "grace_s": 8, "ttl_max_s": 5}
    b.update(bounds or {})
    fields = {
        "node": node, "region": "r1", "zone": zone, "bootstrap": first_start,
        "limits.cpu_share": 0.25, "limits.cores": 1,
        "listen.front": "127.0.0.1:%d" % ports[0], "listen.ready": "127.0.0.1:%d" % ports[1],
        "listen.directory": "127.0.0.1:%d" % ports[2], "listen.control": "127.0.0.1:%d" % ports[3],
        "seeds": ",".join(seeds), "provider.addr": store,
    }
    fields.update({"bounds." + k: v for k, v in b.items()})
    with open(os.path.join(ROOT, "deploy", "settings.ini")) as f:
        text = f.read()
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m.group(2) if fields.get(m.group(1)) else "", text)
    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: "" if fields.get(m.group(1)) else m.group(2), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields[m.group(1)]), text)


class Node:
    """One process of the project, with the command of the deploy file."""

    def __init__(self, folder, name, door, zone="z1", ports=None):
        self.folder, self.name, self.door, self.zone = folder, name, door, zone
        self.ports = ports or free_ports(4)
        self.process, self.starts, self.exit_codes = None, 0, []

    @property
    def peers(self):
        return "127.0.0.1:%d" % self.ports[3]

    async def start(self, seeds, first_start, bounds=None):
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w") as f:
            f.write(settings(self.name, self.zone, self.ports, seeds, self.door.address,
                             first_start, bounds))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "serve", "--settings", path, cwd=ROOT, env=env,
            stdout=self.log, stderr=self.log)
        self.starts += 1

    async def rewrite(self, seeds, bounds=None):
        """The settings file changes, and the process gets SIGHUP."""
        path = os.path.join(self.folder, self.name + ".ini")
        with open(path, "w") as f:
            f.write(settings(self.name, self.zone, self.ports, seeds, self.door.address, False,
                             bounds))
        self.process.send_signal(signal.SIGHUP)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self, sig=signal.SIGKILL):
        if self.is_running():
            self.process.send_signal(sig)
            if sig == signal.SIGKILL:
                await self.process.wait()

    def memory_mb(self):
        """Resident memory."""
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ports[1], "GET", "/-/readyz", {"Host": "x"}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def call(port, method, target, headers, body=b""):
    """One request on a channel of its own. Returns status, headers and body, or raises."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = ["%s %s HTTP/1.1" % (method, target)]
        head += ["%s: %s" % (n, v) for n, v in headers.items()]
        if body or method == "POST":
            head.append("Content-Length: %d" % len(body))
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        line, got = await read_head(reader)
        return int(line.split(" ")[1]), got, await read_body(reader, got)
    finally:
        writer.close()


class Worker:
    """A worker: plain, or a model worker that obeys orders."""

    def __init__(self, site, wid, service, domain="", zone="z1", slots=8):
        self.site, self.id, self.service = site, wid, service
        self.domain, self.zone, self.slots = domain, zone, slots
        self.born = int(time.time() * 1000)
        self.state, self.group, self.model = "ready", None, None
        self.primed, self.staged = None, []
        self.seen_epoch, self.seq, self.alive = 0, 0, False
        self.tasks, self.writers = set(), set()
        self.running = 0
        self.read_rate = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 16)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.alive = True
        await self.write()

    async def crash(self, entry_after=0.0):
        """Crashes; its entry is removed after that many seconds."""
        self.alive = False
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(entry_after)
        await self.site.store.remove("servers", self.id)

    async def write(self):
        if not self.alive:
            return
        models = []
        if self.model:
            models = [{"name": self.model, "version": 1, "adapters": []}]
        entry = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                 "born": self.born, "stage": "both", "models": models, "staged": self.staged,
                 "domain": self.domain}
        if self.group:
            entry["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        await self.site.store.put("servers", self.id, entry)

    def later(self, coro):
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while self.alive:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                wanted = headers.get("x-eelgrassmill-expect-instance")
                length = int(headers.get("content-length", "0"))
                if self.read_rate and length > 1 << 16:
                    body = await self.read_slowly(reader, length)
                else:
                    body = await read_body(reader, headers)
                if wanted and wanted != self.id:
                    writer.write(answer(421, b"", {
                        "X-Eelgrassmill-Instance-Id": self.id,
                        "X-Eelgrassmill-Request-Id": headers.get("x-eelgrassmill-request-id", "")}))
                elif target == "/-/report":
                    writer.write(answer(200, json.dumps(self.report()).encode(),
                                        {"Content-Type": "application/json"}))
                elif target == "/-/order" and random.random() < self.site.late_orders:
                    # No answer; carried out 2 to 12 s later.
                    self.later(self.obey_late(json.loads(body)))
                    await asyncio.sleep(30)
                    return
                elif target == "/-/order":
                    status = self.obey(json.loads(body))
                    writer.write(answer(status))
                else:
                    await self.run(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_slowly(self, reader, length):
        """Reads a body at `read_rate` bytes a second."""
        body, left = 0, length
        while left:
            piece = await reader.read(min(left, 1 << 16))
            if not piece:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(piece)
            body += len(piece)
            await asyncio.sleep(len(piece) / self.read_rate)
        return b"x" * body

    def report(self):
        out = {"stage": "both", "models": [], "busy": False, "seq": self.seq, "queued": 0,
               "running": self.running, "kv_used": 0, "kv_total": 2470000, "handles": 0,
               "born": self.born, "staged": self.staged, "domain": self.domain}
        if self.model:
            out["models"] = [{"name": self.model, "version": 1, "adapters": []}]
        if self.group:
            out["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        return out

    def obey(self, order):
        op, site = order["op"], self.site
        mine = self.group and (self.group["name"], self.group["epoch"]) == (
            order.get("group"), order.get("epoch"))
        site.record.say("order at %s: %s" % (self.id, json.dumps(
            {k: v for k, v in order.items() if v is not None})))
        if op == "join":
            if order["epoch"] < self.seen_epoch:
                return 412
            if mine:
                return 200 if self.group["members"] == order["members"] else 412
            self.seq += 1
            self.check_two(order)
            self.seen_epoch = order["epoch"]
            self.group = {"name": order["group"], "epoch": order["epoch"], "state": "joining",
                          "rank": order["members"].index(self.id), "members": order["members"]}
            self.model = order["model"]
            self.later(self.join(self.group, order["model"]))
            self.later(self.write())
            return 202
        if op == "stage":
            if order["model"] in self.staged:
                return 200
            self.seq += 1
            self.later(self.stage(order["model"]))
            return 202
        if not mine:
            return 409
        if op == "leave":
            self.seq += 1
            self.group = None
            self.later(self.write())
            return 200
        if op == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready" or self.group["rank"] != 0:
                return 409
            self.seq += 1
            self.later(self.become(self.group, 0.3, "ready", "open"))
            return 202
        if op == "close":
            if self.group["state"] == "open":
                self.seq += 1
                self.group["state"] = "ready"
                self.later(self.write())
            return 200
        return 400

    async def obey_late(self, order):
        await asyncio.sleep(random.uniform(2, 12))
        if self.alive:
            self.site.record.say("late at %s: answer would be %d" % (self.id, self.obey(order)))

    def check_two(self, order):
        """Rule TWO: a join of another group while the head of its group is open or closing, or
        stands still and isn't yet broken."""
        if not self.group:
            return
        head = self.site.workers.get(self.group["members"][0])
        if head and self.site.is_member(head.id, self.group) and head.group["state"] in (
                "open", "closing"):
            self.site.record.say("TWO: %s joins %s while the head %s of %s is %s" % (
                self.id, order["group"], head.id, self.group["name"], head.group["state"]))
            self.site.breaks.append(("TWO", now(), self.id, order["group"]))

    def check_partial(self):
        """Rule PARTIAL: a request begins to run in a group that isn't whole."""
        group = self.group
        size = self.site.models[self.model]["size"]
        known = [(m, group["name"], group["epoch"], tuple(group["members"])) in self.site.readied
                 for m in group["members"]]
        if len(known) != size or not all(known):
            self.site.record.say("PARTIAL: a request begins at %s in %s" % (self.id, group))
            self.site.breaks.append(("PARTIAL", now(), self.id, group["name"]))

    async def become(self, group, after, old, new):
        await asyncio.sleep(after)
        if self.group is group and group["state"] == old:
            group["state"] = new
            await self.write()

    async def join(self, group, model):
        spec = self.site.models[model]
        if self.primed == model:
            await asyncio.sleep(0.2)
        elif model in self.staged:
            await asyncio.sleep(spec["warm_s"])
        else:
            await self.load(model)
        if self.group is group:
            group["state"] = "ready"
            self.primed = model
            self.site.readied.add((self.id, group["name"], group["epoch"],
                                   tuple(group["members"])))
            await self.write()

    async def stage(self, model):
        await self.load(model)
        await self.write()

    async def load(self, model):
        spec, site = self.site.models[model], self.site
        site.record.say("load of %s at %s" % (model, self.id))
        # Before the first request, loads take one tenth of the time.
        await asyncio.sleep(spec["load_s"] * (1.0 if site.requests else 0.1))
        self.staged = [model]

    async def run(self, method, target, headers, body, writer):
        rid = headers.get("x-eelgrassmill-request-id", "")
        site = self.site
        sign = {"X-Eelgrassmill-Request-Id": rid,
                "X-Eelgrassmill-Response-Seal": "seal.%s.%s" % (self.id, rid)}
        if self.domain:
            if not (self.group and self.group["rank"] == 0 and self.group["state"] == "open"):
                writer.write(answer(421, b"", sign))
                return
            site.record.say("run %s at %s" % (rid, self.id))
            await self.stream(rid, sign, writer)
            return
        site.record.say("run %s at %s" % (rid, self.id))
        self.running += 1
        await asyncio.sleep(0.015)
        self.running -= 1
        writer.write(answer(200, ("answer to %s" % rid).encode().ljust(800, b"."), sign))

    async def stream(self, rid, sign, writer):
        self.check_partial()
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += ["%s: %s" % kv for kv in sign.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        group, members = self.group, self.group["members"]
        for n in range(1, self.site.events + 1):
            await asyncio.sleep(0.05)
            while not all(self.site.is_member(m, group) for m in members):
                await asyncio.sleep(0.05)
            event = ("id: %d\ndata: piece %d of %s\n\n" % (n, n, rid)).encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Site:
    """Store, workers and what they share."""

    def __init__(self, record, models, events=20):
        self.record, self.models, self.events = record, models, events
        self.store, self.workers, self.requests = Store(), {}, 0
        self.breaks, self.readied = [], set()
        self.late_orders = 0.0

    async def add_worker(self, *args, **kwargs):
        worker = Worker(self, *args, **kwargs)
        self.workers[worker.id] = worker
        await worker.start()
        return worker

    def is_member(self, wid, group):
        w = self.workers.get(wid)
        return bool(w and w.alive and w.group and
                    (w.group["name"], w.group["epoch"]) == (group["name"], group["epoch"]))

    def open_heads(self):
        return [w for w in self.workers.values() if w.alive and w.group and
                w.group["rank"] == 0 and w.group["state"] == "open"]

    async def until(self, what, holds, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            got = holds()
            if asyncio.iscoroutine(got):
                got = await got
            if got:
                return True
            await asyncio.sleep(0.05)
        self.record.say("waited in vain: " + what)
        return False


def manifest(version, models, slots=26, timeout_ms=8000, desk_timeout_ms=1500):
    """Of the form that `fleetbench wire` shows."""
    return {
        "version": version,
        "routes": [
            {"name": "write", "host": "site.example", "prefix": "/write/", "kind": "stream",
             "timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 1, "attempts": 2,
             "service": "writer", "public": False, "sticky": True, "resumable": True,
             "gap_aim_ms": 250},
            {"name": "pay", "host": "site.example", "prefix": "/pay/", "kind": "unsafe",
             "timeout_ms": desk_timeout_ms, "target_latency_ms": 100, "priority": 0, "attempts": 2,
             "service": "desk", "public": False},
            {"name": "read", "host": "site.example", "prefix": "/read/", "kind": "safe",
             "timeout_ms": desk_timeout_ms, "target_latency_ms": 100, "priority": 0, "attempts": 2,
             "service": "desk", "public": False},
        ],
        "services": [
            {"name": "writer", "health_path": "/healthz", "max_conns": 464, "protocol": "h1",
             "tls": False, "engine": {
                 "slots": slots, "kv_capacity": 2470000, "stride": 6,
                 "models": [dict(m, name=n) for n, m in models.items()],
                 "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293,
                 "read_per_s": 56100.0, "pairs_per_m": 0.309, "chunk": 2048,
                 "report_lag_ms": 200.0, "loads_per_s": 5.5, "loads_at_once": 8, "keeps": 1,
                 "form_ms": 300.0, "usual": {"prompt": 1115, "answer": 152}}},
            {"name": "desk", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "baths", "api_keys": ["key-1"], "priority": 1}],
    }


def headers(rid, timeout_ms, model=None, host="site.example"):
    out = {"Host": host, "X-Eelgrassmill-Request-Id": rid,
           "X-Eelgrassmill-Timeout-Ms": str(timeout_ms), "Authorization": "Bearer key-1"}
    if model:
        out["X-Eelgrassmill-Model"] = model
        out["X-Eelgrassmill-Token-Count"] = "1460,80"
        out["X-Eelgrassmill-Prompt-Prefix"] = "5c1e07a2:40,%x:1420" % (abs(hash(rid)) & 0xffffffff)
    return out
