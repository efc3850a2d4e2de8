"""Stand-ins for the platform, its workers and its clients, and the start of real nodes.

Standard library only. All addresses are loopback addresses, all ports are free ones.
The store follows PROTOCOL.md: rows with versions, pages of at most 500 rows or 1 MB, a change
feed, transactions, `Store-Era` in all answers.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
BOUNDS = {
    "retry_window_s": 10, "retry_ratio": 0.2, "retry_slack": 132, "grace_s": 8, "ttl_max_s": 5,
}
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
RECOVER_S = 12.0


def free_port():
    """A free port below those that the system gives to outgoing channels."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
            self.file.flush()


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def read_body(self):
        if "chunked" in (self.headers.get("Transfer-Encoding") or ""):
            body = b""
            while True:
                size = int(self.rfile.readline().split(b";")[0], 16)
                body += self.rfile.read(size)
                self.rfile.readline()
                if size == 0:
                    return body
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        # A peer that was killed or has given up.
        pass


def serve(handler, port=0):
    server = Server(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    return server, f"127.0.0.1:{server.server_address[1]}"


class Store:
    """The platform's store."""

    def __init__(self, era=1):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        self.feed = []
        self.era = era
        self.reads = []
        store = self

        class Handler(Quiet):
            def do_GET(self):
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if url.path == "/-/rows-get":
                    return self.answer(store.get(query))
                if url.path == "/-/rows-feed":
                    return self.answer(store.since(query))
                return self.answer((404, {}))

            def do_POST(self):
                body = json.loads(self.read_body())
                return self.answer(store.transact(body))

            def answer(self, found):
                status, body = found
                self.reply(
                    status, json.dumps(body).encode(),
                    [("Content-Type", "application/json"), ("Store-Era", str(store.era))],
                )

        self.server, self.address = serve(Handler)

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put(self, table, key, value, part=""):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            known = self.rows.get((table, part, key))
            encoded = base64.b64encode(raw).decode()
            if known and known[0] == encoded:
                return
            self._put(table, part, key, encoded)
            self.changed.notify_all()

    def _put(self, table, part, key, value):
        self.version += 1
        self.rows[table, part, key] = (value, self.version)
        self.feed.append((self.version, table, part, key, False))

    def drop(self, table, key, part=""):
        with self.changed:
            if self.rows.pop((table, part, key), None) is None:
                return
            self.version += 1
            self.feed.append((self.version, table, part, key, True))
            self.changed.notify_all()

    def value(self, table, key, part=""):
        with self.changed:
            return base64.b64decode(self.rows[table, part, key][0])

    def _row(self, table, part, key):
        value, version = self.rows[table, part, key]
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        begin, end = query.get("from", "").encode(), query.get("target")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        with self.changed:
            keys = sorted((k for t, p, k in self.rows if (t, p) == (table, part)), key=str.encode)
            keys = [k for k in keys if k.encode() >= begin]
            if end is not None:
                keys = [k for k in keys if k.encode() < end.encode()]
            rows, size = [], 0
            for key in keys:
                row = self._row(table, part, key)
                size += len(row["value"])
                if rows and (len(rows) >= limit or size > PAGE_BYTES):
                    break
                rows.append(row)
            self.reads.append((table, query.get("from", ""), len(rows), len(keys)))
            return 200, {
                "rows": rows, "has_more": len(rows) < len(keys), "ver": self.version,
                "now_ms": self.now_ms(),
            }

    def since(self, query):
        table, since = query.get("table", ""), int(query.get("since_rev", 0))
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        with self.changed:
            while True:
                if since > self.version:
                    return 410, {"ver": self.version}
                newest = {}
                for version, of, part, key, removed in self.feed:
                    if version > since and of == table:
                        newest.pop((part, key), None)
                        newest[part, key] = (version, removed)
                left = until - time.monotonic()
                if newest or left <= 0:
                    rows = [
                        {"table": table, "part": p, "key": k, "ver": v, "removed": True}
                        if removed else self._row(table, p, k)
                        for (p, k), (v, removed) in newest.items()
                    ]
                    return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
                self.changed.wait(left)

    def transact(self, body):
        with self.changed:
            for want in body.get("expect_rev", []):
                row = (want["table"], want["part"], want["key"])
                held = self.rows.get(row, (None, 0))[1]
                if held != want["ver"]:
                    return 412, {"rows": [], "ver": self.version, "now_ms": self.now_ms()}
            for put in body.get("puts", []):
                if put["table"] in ("op", "servers"):
                    return 403, {}
                self._put(put["table"], put["part"], put["key"], put["value"])
            self.changed.notify_all()
            return 200, {"ver": self.version, "now_ms": self.now_ms()}


class Worker:
    """A plain worker: lists itself each 1.2 s and runs requests."""

    def __init__(self, store, record, worker_id, service, zone, work_s):
        self.id, self.service, self.zone = worker_id, service, zone
        self.store, self.record, self.work_s = store, record, work_s
        self.born = int(time.time() * 1000)
        self.runs = []
        self.lock = threading.Lock()
        # Called with the request before it is answered; may return another status.
        self.on_run = lambda run: 200
        # Further headers of all its answers to requests.
        self.says = []
        self.state = "ready"
        self.seq = 0
        self.alive = True
        self.channels = set()
        worker = self

        class Handler(Quiet):
            def setup(self):
                super().setup()
                worker.channels.add(self)

            def finish(self):
                worker.channels.discard(self)
                super().finish()

            def do(self):
                worker.handle(self)

            do_GET = do_POST = do_PUT = do

        self.server, self.address = serve(Handler)
        self.beat()
        threading.Thread(target=self.beat_loop, daemon=True).start()

    def end(self):
        """It exits: its port refuses, its channels close, its entry is removed."""
        self.alive = False
        self.server.shutdown()
        self.server.server_close()
        for channel in list(self.channels):
            try:
                channel.connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.store.drop("servers", self.id)
        self.record.say(f"worker {self.id} ends")

    def beat(self):
        if not self.alive:
            return
        self.store.put("servers", self.id, {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
            "slots": 6, "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born,
        })

    def beat_loop(self):
        while True:
            time.sleep(1.2)
            self.beat()

    def handle(self, http):
        body = http.read_body()
        rid = http.headers.get("X-Eelgrassmill-Request-Id")
        instance = ("X-Eelgrassmill-Instance-Id", self.id)
        expected = http.headers.get("X-Eelgrassmill-Expect-Instance")
        if expected is not None and expected != self.id:
            return http.reply(421, b"", [instance])
        if http.path == "/-/report":
            report = json.dumps({
                "stage": "both", "models": [], "busy": False, "seq": 0, "queued": 0, "running": 0,
                "kv_used": 0, "kv_total": 0, "handles": 0, "born": self.born,
            })
            return http.reply(200, report.encode(), [("Content-Type", "application/json")])
        if http.path == "/healthz":
            return http.reply(200, b"", [instance])
        if rid is None:
            return http.reply(400, b"", [("X-Eelgrassmill-Not-Executed", "1")])
        run = {
            "id": rid, "path": http.path, "method": http.command, "body": body,
            "tenant": http.headers.get("X-Eelgrassmill-Tenant"), "worker": self.id,
            "at": time.monotonic(),
        }
        with self.lock:
            self.runs.append(run)
        time.sleep(self.work_s)
        if not self.alive:
            self.record.say(f"worker {self.id} ended while it ran {rid}")
            http.close_connection = True
            return None
        status = self.on_run(run)
        self.record.say(
            f"worker {self.id} has run {rid} {http.command} {http.path}, "
            f"tenant {run['tenant']!r}, and answers {status}"
        )
        return http.reply(status, f"answer to {rid}".encode(), [
            ("X-Eelgrassmill-Request-Id", rid),
            ("X-Eelgrassmill-Response-Seal", f"{self.id}.{rid}"),
        ] + self.says)


def render(template, fields):
    """Fills in a template as DEPLOY.md tells."""

    def find(path, scope):
        if path == ".":
            return scope[-1]
        for frame in reversed(scope):
            value = frame
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        if isinstance(value, (dict, bool)):
            return json.dumps(value)
        return str(value)

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(part, scope):
        def expand(match):
            kind, name, inner = match.groups()
            value = find(name, scope)
            if kind == "^":
                return fill(inner, scope) if value in (None, False) else ""
            if value in (None, False):
                return ""
            if isinstance(value, list):
                return "".join(fill(inner, scope + [v]) for v in value)
            return fill(inner, scope + ([value] if isinstance(value, dict) else []))

        part = section.sub(expand, part)
        return re.sub(r"\{\{([^}#^/]+)\}\}", lambda m: text(find(m.group(1), scope)), part)

    return fill(template, [fields])


class Node:
    """One machine of the system: the program of the deploy file as a process of its own."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.ports = {p: f"127.0.0.1:{free_port()}" for p in ("front", "ready", "control", "directory")}
        self.process = None

    @property
    def front(self):
        return self.ports["front"]

    def start(self, bootstrap, seeds=None):
        fields = {
            "node": self.name, "role": "gateway", "class": "front", "zone": self.zone,
            "region": "r1", "bootstrap": bootstrap, "listen": self.ports,
            "seeds": seeds or [n.ports["control"] for n in self.site.nodes[:3]],
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4200},
            "bounds": BOUNDS, "provider": {"addr": self.site.store.address},
        }
        with open(os.path.join(REPO, "deploy", "settings.ini"), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        path = os.path.join(self.site.folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        program = os.path.join(REPO, "target", "release", "eelgrassmill-adapter")
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [program, "serve", "--settings", path], cwd=REPO, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.site.folder},
        )

    def kill(self, how=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(how)
            if how == signal.SIGKILL:
                self.process.wait()

    def is_ready(self):
        try:
            return call(self.ports["ready"], "GET", "/-/readyz", [], timeout=1.0).status == 200
        except OSError:
            return False


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


def call(address, method, path, headers, body=b"", timeout=3.0):
    """One request on a new channel; raises OSError if the channel breaks before the head."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=1.0) as sock:
        sock.settimeout(timeout)
        lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
        if not any(n.lower() == "host" for n, _ in headers):
            lines.append(f"Host: {address}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        file = sock.makefile("rb")
        first = file.readline()
        if not first:
            raise ConnectionResetError("no answer")
        status, found = int(first.split()[1]), {}
        while (line := file.readline().strip()):
            name, _, value = line.decode("latin-1").partition(":")
            found[name.strip().lower()] = value.strip()
        whole = True
        if "content-length" in found:
            size = int(found["content-length"])
            got = file.read(size)
            whole = len(got) == size
        elif "chunked" in found.get("transfer-encoding", ""):
            got, whole = b"", False
            while (head := file.readline()):
                size = int(head.split(b";")[0], 16)
                got += file.read(size)
                file.readline()
                if size == 0:
                    whole = True
                    break
        else:
            got = file.read()
        return Answer(status, found, got, whole)


class Site:
    """A store, plain workers and three machines of the system."""

    def __init__(self, case_folder, workers=3, machines=3, work_s=0.015):
        self.folder = tempfile.mkdtemp(prefix="eelgrassmill-review-")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.store = Store()
        zones = ["hall-ost", "hall-west", "hall-bad"]
        self.workers = [
            Worker(self.store, self.record, f"i-desk{n}", "booking-desk", zones[n % 3], work_s)
            for n in range(workers)
        ]
        self.nodes = []
        for n in range(machines):
            self.nodes.append(Node(self, f"front-{zones[n % 3]}-{n // 3 + 1}", zones[n % 3]))

    def manifest(self, version, tenants):
        def route(name, kind):
            return {
                "name": name, "host": "site.example", "prefix": f"/{name}/", "kind": kind,
                "timeout_ms": 1500, "target_latency_ms": 100, "priority": 1, "attempts": 2,
                "service": "booking-desk", "public": False, "resumable": False,
            }

        self.store.put("op", "config", {
            "version": version,
            "routes": [route("refund", "unsafe"), route("rebook", "safe")],
            "services": [{"name": "booking-desk", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants,
        })
        self.record.say(f"manifest {version} is acknowledged")

    def start(self, bootstrap=True):
        for node in self.nodes:
            node.start(bootstrap)

    def wait_ready(self, patience_s):
        end = time.monotonic() + patience_s
        while time.monotonic() < end:
            if all(node.is_ready() for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def request(self, node, route, rid, key, timeout_ms=1500, method="POST"):
        headers = [
            ("Host", "site.example"), ("X-Eelgrassmill-Request-Id", rid),
            ("X-Eelgrassmill-Timeout-Ms", str(timeout_ms)), ("Authorization", f"Bearer {key}"),
        ]
        try:
            answer = call(node.front, method, f"/{route}/7", headers, b"20 euros", timeout_ms / 1000 + 0.5)
        except OSError as err:
            self.record.say(f"client sent {rid} to {node.name}: {type(err).__name__}")
            return None
        self.record.say(f"client sent {rid} to {node.name}: {answer.status} {answer.body[:60]!r}")
        return answer

    def runs(self):
        return [run for worker in self.workers for run in worker.runs]

    def stop(self):
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(file, case, **site_options):
    """Runs a case; ends this process with 0 (held), 1 (broken) or 2 (couldn't run)."""
    # What was started is ended also when this process is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(file))
    site = None
    code = 2
    try:
        site = Site(folder, **site_options)
        site.record.say(f"trouble: {'yes' if trouble else 'no'}")
        broken = case(site, trouble)
        code = 2 if broken is None else int(bool(broken))
        site.record.say({0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[code])
    except Exception as err:  # a stand-in that fails is no finding
        if site:
            site.record.say(f"the case couldn't run: {err!r}")
        print(repr(err), file=sys.stderr)
    finally:
        if site:
            site.stop()
    sys.exit(code)
