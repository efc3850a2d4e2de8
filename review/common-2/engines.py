"""Model workers as PROTOCOL.md tells: orders, groups, reports, streams."""

import json
import socket
import threading
import time

from stand import Quiet, serve

STALL_S = 6.0
FORM_S = 0.02
PRIMED_S = 0.2
WARM_S = 1.1
LOAD_S = 12.0
EVENTS = 10
GAP_S = 0.04


class Engine:
    """A worker that may join groups. `peers` are all workers, by id."""

    def __init__(self, store, record, worker_id, service, zone, domain, peers):
        self.id, self.service, self.zone, self.domain = worker_id, service, zone, domain
        self.store, self.record, self.peers = store, record, peers
        self.born = int(time.time() * 1000)
        self.lock = threading.RLock()
        self.group = None
        self.seen_epoch = 0
        self.last_model = None
        self.model = None
        self.staged = []
        self.seq = 0
        self.running = 0
        self.answers = 0
        self.alive = True
        self.served = {"first": False}
        # The group at which it stood still, and since when.
        self.still = None
        # Called with each answered report and channel; may return a copy that is sent later.
        self.on_report = lambda channel: False
        # Called with each order; returns seconds after which it is carried out without an answer.
        self.late_by = lambda order: None
        # Joins that were taken while the former group's head was open, closing or standing still.
        self.torn = []
        self.connections = set()
        worker = self

        class Handler(Quiet):
            def setup(self):
                super().setup()
                self.extra = None
                worker.connections.add(self)

            def finish(self):
                worker.connections.discard(self)
                super().finish()

            def do(self):
                worker.handle(self)

            do_GET = do_POST = do

        self.server, self.address = serve(Handler)
        peers[worker_id] = self
        self.list()
        threading.Thread(target=self.watch, daemon=True).start()

    # What it says of itself

    def list(self):
        if not self.alive:
            return
        self.store.put("servers", self.id, {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
            "slots": 26, "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born,
            "domain": self.domain, **self.own_state(),
        })

    def own_state(self):
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.model else []
        group = self.group and {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        return {"models": models, "staged": list(self.staged), "group": group}

    def report(self):
        return {
            "stage": "both", "busy": False, "seq": self.seq, "queued": 0, "running": self.running,
            "kv_used": 0, "kv_total": 2_470_000, "handles": 0, "pace": 1.0, "born": self.born,
            **self.own_state(),
        }

    # Groups

    def is_whole(self):
        """Whether all members of the group that it heads are still in it."""
        for rank, member in enumerate(self.group["members"]):
            worker = self.peers[member]
            held = worker.group
            same = held and (held["name"], held["epoch"]) == (self.group["name"], self.group["epoch"])
            if not worker.alive or not same or held["rank"] != rank:
                return False
        return True

    def watch(self):
        while self.alive:
            time.sleep(0.02)
            with self.lock:
                group = self.group
                if group is None or group["rank"] != 0 or group["state"] not in ("open", "closing"):
                    self.still = None
                elif self.is_whole():
                    self.still = None
                    if group["state"] == "closing" and self.running == 0:
                        self.enter("ready")
                elif self.still is None:
                    self.still = time.monotonic()
                elif time.monotonic() - self.still >= STALL_S:
                    self.enter("broken")

    def enter(self, state):
        self.group = {**self.group, "state": state}
        self.list()

    def order(self, order):
        op = order["op"]
        with self.lock:
            named = (order.get("group"), order.get("epoch"))
            held = self.group and (self.group["name"], self.group["epoch"])
            if op == "stage":
                if order["model"] in self.staged:
                    return 200
                self.seq += 1
                self.later(self.load_s(), lambda: self.stage(order["model"]))
                return 202
            if op == "join":
                return self.join(order, named, held)
            if held != named:
                return 409
            state, rank = self.group["state"], self.group["rank"]
            if op == "leave":
                self.seq += 1
                self.group = None
                self.list()
                return 200
            if rank != 0:
                return 409
            if op == "open":
                if state == "open":
                    return 200
                if state != "ready":
                    return 409
                self.seq += 1
                self.later(FORM_S, lambda: self.advance(named, "ready", "open"))
                return 202
            if op == "close":
                if state in ("closing", "ready"):
                    return 200
                if state != "open":
                    return 409
                self.seq += 1
                self.enter("closing")
                return 202
            return 400

    def join(self, order, named, held):
        if order["epoch"] < self.seen_epoch:
            return 412
        if held == named:
            return 200 if self.group["members"] == order["members"] else 412
        if self.id not in order["members"]:
            return 409
        if held:
            head = self.peers[self.group["members"][0]]
            theirs = head.group and (head.group["name"], head.group["epoch"])
            if head.alive and theirs == held and head.group["state"] in ("open", "closing"):
                self.torn.append(f"{self.id} joins {named[0]} while {head.id}, the head of its group "
                                 f"{held[0]}, is {head.group['state']}")
                self.record.say("TWO: " + self.torn[-1])
        self.seq += 1
        self.seen_epoch = order["epoch"]
        model = order["model"]
        if self.last_model == model:
            takes = PRIMED_S
        elif model in self.staged:
            takes = WARM_S
        else:
            takes = self.load_s()
        self.last_model = self.model = model
        self.group = {"name": named[0], "epoch": named[1], "rank": order["members"].index(self.id),
                      "state": "joining", "members": order["members"]}
        self.list()

        def ready():
            self.stage(model)
            self.advance(named, "joining", "ready")

        self.later(takes, ready)
        return 202

    def load_s(self):
        return LOAD_S if self.served["first"] else LOAD_S / 10

    def stage(self, model):
        with self.lock:
            if model not in self.staged:
                self.staged = [model]
                self.list()

    def advance(self, named, before, after):
        with self.lock:
            group = self.group
            if self.alive and group and (group["name"], group["epoch"], group["state"]) == (*named, before):
                self.enter(after)

    def later(self, seconds, act):
        timer = threading.Timer(seconds, act)
        timer.daemon = True
        timer.start()

    def crash(self):
        """Its channels close and its port refuses; its entry stays until it expires."""
        self.alive = False
        self.server.shutdown()
        self.server.server_close()
        for channel in list(self.connections):
            try:
                channel.connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.later(3.6, lambda: self.store.drop("servers", self.id))
        self.record.say(f"worker {self.id} crashes")

    # Calls

    def handle(self, http):
        body = http.read_body()
        if not self.alive:
            http.close_connection = True
            return None
        expected = http.headers.get("X-Eelgrassmill-Expect-Instance")
        if expected is not None and expected != self.id:
            return http.reply(421, b"", [("X-Eelgrassmill-Instance-Id", self.id)])
        extra, http.extra = http.extra, None
        order = json.loads(body) if http.path == "/-/order" else None
        late = self.late_by(order) if order else None
        if http.path in ("/-/report", "/-/order") and extra is not None:
            http.reply(200, extra, [("Content-Type", "application/json")])
            if late is not None:
                # The order gets no answer: the channel closes.
                http.connection.shutdown(socket.SHUT_WR)
            self.record.say(f"worker {self.id} sends the extra answer before that to {http.command} {http.path}")
        if http.path == "/-/report":
            found = json.dumps(self.report()).encode()
            self.answers += 1
            if self.on_report(http):
                http.extra = found
            return http.reply(200, found, [("Content-Type", "application/json")])
        if http.path == "/-/order":
            told = f"{order['op']} {order.get('group', '')} {order.get('epoch', '')}"
            if late is not None:
                self.record.say(f"worker {self.id} leaves the order {told} unanswered")
                self.later(late, lambda: self.record.say(
                    f"worker {self.id} carries out {told}: {self.order(order)}"))
                http.close_connection = True
                return None
            status = self.order(order)
            self.answers += 1
            if order["op"] != "stage":
                self.record.say(f"worker {self.id} answers the order {told}: {status}")
            return http.reply(status, b"{}", [("Content-Type", "application/json")])
        return self.stream(http)

    def stream(self, http):
        rid = http.headers.get("X-Eelgrassmill-Request-Id", "")
        echo = [("X-Eelgrassmill-Request-Id", rid)]
        with self.lock:
            group = self.group
            if group and group["rank"] != 0:
                return http.reply(421, b"", echo + [("X-Eelgrassmill-Instance-Id", self.id)])
            if not group or group["state"] != "open":
                return http.reply(503, b"", echo + [("X-Eelgrassmill-Not-Executed", "1")])
            self.running += 1
        named = (group["name"], group["epoch"])
        self.served["first"] = True
        for engine in self.peers.values():
            engine.served["first"] = True
        try:
            http.send_response(200)
            for name, value in echo + [("Content-Type", "text/event-stream"),
                                       ("X-Eelgrassmill-Response-Seal", f"{self.id}.{rid}"),
                                       ("X-Eelgrassmill-Weight-Versions", "1"),
                                       ("Transfer-Encoding", "chunked")]:
                http.send_header(name, value)
            http.end_headers()
            for event in range(1, EVENTS + 1):
                while self.still is not None and self.alive:
                    time.sleep(0.02)
                held = self.group and (self.group["name"], self.group["epoch"])
                if not self.alive or held != named or self.group["state"] not in ("open", "closing"):
                    http.close_connection = True
                    return None
                text = f"id: {event}\ndata: {rid}-{event}\n\n".encode()
                http.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
                time.sleep(GAP_S)
            http.wfile.write(b"0\r\n\r\n")
            self.answers += 1
        except OSError:
            http.close_connection = True
        finally:
            with self.lock:
                self.running -= 1
        return None
