"""A small deployment on loopback addresses for the scripts of the review.

The real program runs as separate processes. The platform around it is a stand-in in this process: the metadata store (a log), the workers, the advisor and
the clients. Every pair of a caller and a server has a listener of its own, so that a single path can be cut, as a network would cut it: while a path is cut,
connections stay open and nothing that is sent over it arrives.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "marjoramhaven")
HOST = "127.0.0.1"

# The bounds of the site file ckw-sched, as the pages list them.
BOUNDS = {
    "seed-lag-s": 3, "reuse-delay-s": 2, "stability-window-ms": 4000, "ack-timeout-ms": 5000, "catch-up-s": 4, "drain-ms": 2500, "grace-s": 6,
    "loss-slack-ms": 200, "config-apply-ms": 2500, "rollback-slack-ms": 250, "max-skew-ms": 6000, "recovery-s": 12, "max-hold-ms": 10000,
    "stop-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "remote-factor": 2, "checkpoint-s": 2, "restore-ms": 250, "notice-ms": 5500, "fencing-enforced": False, "lease-ms": 3000, "thaw-ms": 300,
    "pace-ms": 100, "impact-ms": 4000,
}
MAX_RECORD_BYTES = 262144
MAX_CALL_BYTES = 2097152
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be run as described; says nothing about the rule."""


def free_ports(count):
    """Returns `count` free consecutive TCP ports."""
    # Below the range from which the kernel takes the ports of outgoing connections.
    start = 11000 + os.getpid() * 397 % 12000
    for first in range(start, 32000 - count, count):
        held = []
        try:
            for port in range(first, first + count):
                it = socket.socket()
                held.append(it)
                it.bind((HOST, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for it in held:
                it.close()
    raise CannotRun("no free ports")


class Path:
    """One network path between two parties, which can be cut and healed."""

    def __init__(self):
        self.up = asyncio.Event()
        self.up.set()

    def cut(self):
        self.up.clear()

    def heal(self):
        self.up.set()


class Reset(Exception):
    """Raised by a handler to reset the connection without an answer."""


def abort(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def serve_http(port, path, handler):
    """Serves HTTP/1.1 on a port. The handler takes method, target, headers and body, and returns status, body and content type."""

    async def connected(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await path.up.wait()
                if reader.at_eof():
                    return
                status, answer, kind = await handler(method, target, headers, body)
                await path.up.wait()
                if isinstance(answer, (dict, list)):
                    answer = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (status, kind.encode(), len(answer)) + answer)
                await writer.drain()
        except Reset:
            abort(writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, HOST, port, limit=1 << 22)


async def serve_proxy(port, path, target_port):
    """Forwards TCP connections over a path."""

    async def pump(reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await path.up.wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def connected(reader, writer):
        await path.up.wait()
        try:
            there_reader, there_writer = await asyncio.open_connection(HOST, target_port)
        except OSError:
            abort(writer)
            return
        await asyncio.gather(pump(reader, there_writer), pump(there_reader, writer))

    return await asyncio.start_server(connected, HOST, port)


class Store:
    """The platform's metadata store: keyed topics with one partition each."""

    def __init__(self, lab):
        self.lab = lab
        self.topics = {}
        self.producers = {}
        self.changed = asyncio.Event()
        # Called before each call of a process: node number, operation, topic and body. May return (status, body) to refuse the call.
        self.on_call = None
        # Called after each append of a process that was carried out. May raise Reset, so that its answer is lost with the connection.
        self.on_appended = None

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key.encode(), None if value is None else json.dumps(value).encode()))
        self.changed.set()
        self.changed = asyncio.Event()

    def newest_of(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            found.pop(key, None)
            if value is not None:
                found[key] = (value, offset)
        return found

    async def handle(self, node, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        operation = url.path.rsplit("/", 1)[-1]
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if self.on_call:
            refusal = self.on_call(node, operation, topic, body)
            if refusal:
                return refusal[0], refusal[1], "application/json"
        if operation == "log-append":
            status, answer = self.append(topic, query, body)
            if status == 200 and self.on_appended:
                self.on_appended(node, topic, body)
            return status, answer, "application/json"
        if operation == "log-newest":
            return 200, self.newest(node, topic, query.get("after", "")), "application/json"
        if operation == "log-read":
            answer = await self.read(node, topic, query)
            refusal = self.on_call(node, operation, topic, body) if self.on_call else None
            if refusal:
                return refusal[0], refusal[1], "application/json"
            return 200, answer, "application/octet-stream"
        return 404, {}, "application/json"

    @staticmethod
    def records_in(body):
        at = 0
        out = []
        while at + 4 <= len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            content = body[at + 4:at + 4 + size]
            key = content[1:1 + content[0]]
            value = content[1 + content[0]:]
            out.append((key, value if value else None))
            at += 4 + size
        return out

    def append(self, topic, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records = self.topics.setdefault(topic, [])
        end = len(records)
        at = 0
        while at + 4 <= len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            if size > MAX_RECORD_BYTES:
                self.lab.note("store", "refuses a record of %d bytes in %s, more than max-record-bytes %d" % (size, topic, MAX_RECORD_BYTES), every=1.0)
                return 400, {"reason": "record"}
            at += 4 + size
        if len(body) > MAX_CALL_BYTES:
            return 400, {"reason": "call"}
        if "at" in query and int(query["at"]) != end:
            return 412, {"end-offset": end}
        producer = query.get("producer")
        if producer:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = self.producers.setdefault((topic, producer), {"epoch": -1, "sequence": 0, "last": {}})
            if epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > known["epoch"]:
                known.update(epoch=epoch, sequence=sequence - 1, last={})
            if sequence in known["last"]:
                return 200, known["last"][sequence]
            if sequence != known["sequence"] + 1:
                return 409, {"reason": "seq"}
        records.extend(self.records_in(body))
        answer = {"offset": end, "end-offset": len(records)}
        if producer:
            known["sequence"] = sequence
            known["last"][sequence] = answer
            for old in [it for it in known["last"] if it <= sequence - 5]:
                del known["last"][old]
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, answer

    def seen_by(self, node, topic, key, value):
        """Returns a record as a process gets it: with the ports of the paths between that process and the others."""
        if value is None:
            return None
        if topic == "keyed.servers":
            entry = json.loads(value)
            entry["address"] = "%s:%d" % (HOST, self.lab.worker_ports[(node, key.decode())])
            return json.dumps(entry).encode()
        if topic == "keyed.leadership":
            for other in range(self.lab.node_count):
                if other != node:
                    here = b"\xa9" + HOST.encode() + b"\xcd"
                    value = value.replace(here + struct.pack(">H", self.lab.peer_ports[other]),
                                          here + struct.pack(">H", self.lab.link_ports[(node, other)]))
        return value

    def newest(self, node, topic, after):
        found = self.newest_of(topic)
        keys = sorted(it for it in found if it > after.encode())
        page, size = [], 0
        for key in keys[:500]:
            value = self.seen_by(node, topic, key, found[key][0])
            size += len(value)
            if page and size > 1000000:
                break
            page.append({"key": key.decode("utf-8", "replace"), "value": base64.b64encode(value).decode(), "offset": found[key][1]})
        return {"items": page, "has-more": len(page) < len(keys), "end-offset": len(self.topics.get(topic, []))}

    async def read(self, node, topic, query):
        start = int(query.get("from", "0"))
        limit = int(query.get("max-kb", "1024")) << 10
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        records = self.topics.get(topic, [])
        out = [struct.pack(">QQ", len(records), 0)]
        size = 0
        for key, value in records[start:]:
            content = bytes([len(key)]) + key + (self.seen_by(node, topic, key, value) or b"")
            size += len(content) + 4
            if len(out) > 1 and size > limit:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return b"".join(out)


class Worker:
    """One worker. The spec of a task is a JSON text that says how long it works: {"ms": N}, or 0 for a task that lasts."""

    def __init__(self, lab, number, zone, labels, capacity):
        self.lab = lab
        self.id = "i-%010x" % (0x5d6e540000 + number * 0x1a11)
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.born = int(time.time() * 1000) - 60000
        self.started = time.monotonic() - 60
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.closed = {}
        self.ended = []
        self.last_end = 0
        self.woken = asyncio.Event()
        self.sequence = 0
        # While set, the worker is unhealthy and answers these calls with 503.
        self.refuses_starts = False
        self.refuses_stops = False
        # Path over which the worker reports to the store.
        self.store_path = Path()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def entry(self):
        self.sequence += 1
        return {"service": "svc", "address": "", "zone": self.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels, "clock-ms": self.clock(), "born": self.born,
                "machine": "m-" + self.id}

    def end(self, key, how):
        run = self.runs.pop(key)
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, run["saved"] if how != "done" else ""])
        self.lab.run_ended(self, key, how)
        self.woken.set()
        self.woken = asyncio.Event()

    def advance(self):
        now = time.monotonic()
        for key, run in list(self.runs.items()):
            if self.clock() > self.lease:
                self.end(key, "lapsed")
            elif run["stop_at"] and now >= run["stop_at"]:
                self.end(key, "stopped")
            elif run["ms"] and now >= run["at"] + run["ms"] / 1000:
                self.end(key, "done")

    def lists(self):
        rows = []
        for (task, attempt), run in self.runs.items():
            age = (time.monotonic() - run["at"]) * 1000
            percent = min(99, int(age * 100 / run["ms"])) if run["ms"] else min(100, int(age / 4))
            rows.append([task, attempt, run["saved"], percent, 0])
        return rows

    async def handle(self, node, method, target, headers, body):
        call = json.loads(body or b"{}")
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}, "application/json"
        fence = int(call.get("fencing-token", 0))
        if fence < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}, "application/json"
        if fence > self.fence:
            self.lab.note(self.id, "has seen fence number %d, from %s" % (fence, self.lab.node_names[node]))
        self.fence = fence
        self.advance()
        if target == "/v1/hold":
            self.extend(call.get("deadline-ms", 0))
            self.ended = [it for it in self.ended if it[0] > int(call.get("ack-cursor", 0))]
            until = time.monotonic() + int(call.get("wait-ms", 0)) / 1000
            while not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(asyncio.shield(self.woken.wait()), max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
            return 200, {"clock-ms": self.clock(), "born": self.born, "running": self.lists(), "finished": self.ended[:500]}, "application/json"
        task, attempt = call["task"], int(call["attempt"])
        if self.refuses_starts and target == "/v1/run-start" or self.refuses_stops and target == "/v1/run-stop":
            self.lab.note(self.id, "answers 503 to %s of %s run %d" % (target, task, attempt))
            return 503, {"clock-ms": self.clock()}, "application/json"
        if target == "/v1/run-start":
            return self.start(node, task, attempt, call)
        if target == "/v1/run-stop":
            self.closed[task] = max(self.closed.get(task, 0), attempt)
            run = self.runs.get((task, attempt))
            if run and not run["stop_at"]:
                run["stop_at"] = time.monotonic() + 0.1
            return 200, {"clock-ms": self.clock()}, "application/json"
        return 200, {"clock-ms": self.clock()}, "application/json"

    def extend(self, deadline):
        self.lease = max(self.lease, min(int(deadline), self.clock() + BOUNDS["max-hold-ms"]))

    def start(self, node, task, attempt, call):
        if (task, attempt) in self.runs:
            return 200, {"clock-ms": self.clock()}, "application/json"
        self.extend(call["deadline-ms"])
        if attempt <= self.closed.get(task, 0):
            return 409, {"clock-ms": self.clock(), "reason": "old"}, "application/json"
        if int(call["deadline-ms"]) <= self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}, "application/json"
        work = json.loads(call["spec"])
        self.runs[(task, attempt)] = {"at": time.monotonic(), "ms": work["ms"], "saved": "", "stop_at": None}
        self.lab.run_started(self, node, (task, attempt))
        if self.lab.reset_start_of and task.startswith(self.lab.reset_start_of):
            self.lab.note(self.id, "resets the connection instead of an answer, and turns unhealthy")
            self.lab.reset_start_of = None
            self.refuses_starts = True
            raise Reset
        return 200, {"clock-ms": self.clock()}, "application/json"


class Lab:
    """The deployment: `node_count` processes in as many zones, and the platform."""

    def __init__(self, case_folder, node_count, workers):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.case_folder = case_folder
        self.node_count = node_count
        self.worker_plan = workers
        self.begin = time.monotonic()
        self.record = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8")
        self.noted = {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.node_names = ["edge-z%d-1" % it for it in range(node_count)]
        self.processes = {}
        self.tasks = []
        self.servers = []
        self.starts = []
        self.open_runs = {}
        self.overlaps = []
        self.advice = lambda step, worker: True
        # Prefix of a task whose next start is carried out and answered by a reset.
        self.reset_start_of = None

    def now(self):
        return time.monotonic() - self.begin

    def note(self, who, what, every=0.0):
        if every and self.now() - self.noted.get((who, what[:20]), -1e9) < every:
            return
        self.noted[(who, what[:20])] = self.now()
        self.record.write("%8.3f s  %-12s %s\n" % (self.now(), who, what))
        self.record.flush()

    # Events of runs, as the workers see them.

    def run_started(self, worker, node, key):
        task, attempt = key
        self.note(worker.id, "starts %s run %d, ordered by %s" % (task, attempt, self.node_names[node]))
        self.starts.append((self.now(), worker.id, task, attempt))
        for other, run in list(self.open_runs.get(task, {}).items()):
            self.overlaps.append((self.now(), task, other, (worker.id, attempt)))
            self.note("check", "%s runs twice: run %d on %s since %.3f s, and run %d on %s" % (task, other[1], other[0], run, attempt, worker.id))
        self.open_runs.setdefault(task, {})[(worker.id, attempt)] = self.now()

    def run_ended(self, worker, key, how):
        self.note(worker.id, "ends %s run %d: %s" % (key[0], key[1], how))
        self.open_runs.get(key[0], {}).pop((worker.id, key[1]), None)

    # Set-up.

    async def start(self, routes):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/marjoramhaven is missing: run the build of the deploy file first")
        self.store = Store(self)
        n, w = self.node_count, len(self.worker_plan)
        ports = iter(free_ports(n * 20 + n * n + n * w + n * 2 + 8))
        self.workers = [Worker(self, i, *it) for i, it in enumerate(self.worker_plan)]
        self.client_ports, self.ready_ports, self.peer_ports, self.range_ports = [], [], [], []
        for _ in range(n):
            self.client_ports.append(next(ports))
            self.ready_ports.append(next(ports))
            block = [next(ports) for _ in range(16)]
            self.peer_ports.append(block[0])
            self.range_ports.append(block)
        self.store_paths = [Path() for _ in range(n)]
        self.worker_paths, self.worker_ports, self.link_paths, self.link_ports = {}, {}, {}, {}
        self.store_ports, self.advisor_ports = [], []
        for node in range(n):
            self.store_ports.append(next(ports))
            self.servers.append(await serve_http(self.store_ports[node], self.store_paths[node], self.bind(self.store.handle, node)))
            self.advisor_ports.append(next(ports))
            self.servers.append(await serve_http(self.advisor_ports[node], Path(), self.handle_advice))
            for worker in self.workers:
                path = self.worker_paths[(node, worker.id)] = Path()
                port = self.worker_ports[(node, worker.id)] = next(ports)
                self.servers.append(await serve_http(port, path, self.bind(worker.handle, node)))
            for other in range(n):
                if other != node:
                    key = (min(node, other), max(node, other))
                    path = self.link_paths.setdefault(key, Path())
                    port = self.link_ports[(node, other)] = next(ports)
                    self.servers.append(await serve_proxy(port, path, self.peer_ports[other]))
        self.put_configuration(1, routes)
        self.tasks.append(asyncio.create_task(self.run_workers()))
        for node in range(n):
            await self.start_node(node)
        await self.until(self.all_ready, 30, "the processes to become ready")
        await self.until(lambda: self.leader() is not None, 20, "a leader")
        self.note("lab", "ready; the leader is %s" % self.node_names[self.leader()])

    @staticmethod
    def bind(handler, node):
        async def bound(*args):
            return await handler(node, *args)
        return bound

    def put_configuration(self, version, routes):
        services = [{"name": "svc", "health-path": "/healthz", "max-conns": 64, "rejects-overload": False}]
        self.store.put("keyed.op", "config", {"version": version, "routes": routes, "services": services, "limits": {}})

    async def run_workers(self):
        next_report = 0
        while True:
            for it in self.workers:
                it.advance()
            if time.monotonic() >= next_report:
                next_report = time.monotonic() + HEARTBEAT_S
                for it in self.workers:
                    if it.store_path.up.is_set():
                        self.store.put("keyed.servers", it.id, it.entry())
                        it.reported = time.monotonic()
                        it.is_listed = True
            for it in self.workers:
                if getattr(it, "is_listed", False) and time.monotonic() - it.reported > 3 * HEARTBEAT_S:
                    it.is_listed = False
                    self.store.put("keyed.servers", it.id, None)
                    self.note("store", "removes the entry of %s after three intervals of silence" % it.id)
            await asyncio.sleep(0.01)

    async def handle_advice(self, method, target, headers, body):
        call = json.loads(body)
        await asyncio.sleep(0.03)
        allowed = [[it, "t-" + call["step"] + "-" + it] for it in call["workers"] if self.advice(call["step"], it)]
        self.note("advisor", "asked for %s about %s: allowed %s" % (call["step"], ",".join(call["workers"]), ",".join(it[0] for it in allowed)))
        return 200, {"allowed": allowed}, "application/json"

    def settings(self, node):
        zone = "z%d" % node
        block = self.range_ports[node]
        out = {
            "node-name": self.node_names[node], "role": "entry", "machine-class": "edge", "serves": ["edge"], "ip": HOST, "zone": zone,
            "region": "r%d" % node, "zones": {"z%d" % it: "r%d" % it for it in range(self.node_count)},
            "listen": {"frontend": "%s:%d" % (HOST, self.client_ports[node]), "readiness": "%s:%d" % (HOST, self.ready_ports[node])},
            "port-range": [block[0], block[-1]], "seeds": [], "bootstrap": True, "failure-counted": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
            "discovery": "platform", "entry": "vip", "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"],
            "fault-tolerance": {"machines": 1, "zones": 0, "region-count": 0}, "bounds": BOUNDS, "control-mode": "invocation",
            "advisor": "%s:%d" % (HOST, self.advisor_ports[node]),
            "platform": {"address": "%s:%d" % (HOST, self.store_ports[node]), "form": "log", "writes-per-s": 800, "reads-per-s": 2000, "parts": 16,
                         "append-ms": 3.0, "ingress-per-s": 20.0, "egress-per-s": 80.0, "max-record-bytes": MAX_RECORD_BYTES,
                         "max-call-bytes": MAX_CALL_BYTES, "keep_s": 300, "partition-mb": 200, "min-ttl-ms": 1000},
        }
        path = os.path.join(self.folder, "settings-%d.yaml" % node)
        with open(path, "w", encoding="utf-8") as out_file:
            # JSON is valid YAML.
            json.dump(out, out_file, indent=1)
        return path

    async def start_node(self, node):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8", "MARJORAMHAVEN_NODE_FILE": self.settings(node)}
        log = open(os.path.join(self.folder, "node-%d.log" % node), "ab")
        self.processes[node] = await asyncio.create_subprocess_exec(PROGRAM, "node", env=env, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.note("lab", "starts %s" % self.node_names[node])

    def kill_node(self, node, sig=signal.SIGKILL):
        self.note("lab", "sends %s to %s" % (signal.Signals(sig).name, self.node_names[node]))
        self.processes[node].send_signal(sig)

    async def all_ready(self):
        for port in self.ready_ports:
            status, _ = await self.call(port, "GET", "/v1/readyz", timeout=1)
            if status != 200:
                return False
        return True

    def leader(self):
        """Returns the process that wrote the newest record about the leader, as the store has it."""
        records = [value for key, value in self.store.topics.get("keyed.leadership", []) if key == b"planner" and value]
        if not records:
            return None
        return next((i for i, it in enumerate(self.node_names) if it.encode() in records[-1]), None)

    # Clients.

    async def call(self, port, method, target, host="svc.example", body=None, timeout=3.0):
        """Makes one HTTP call; returns status and body, or (None, reason)."""
        async def go():
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                data = b"" if body is None else json.dumps(body).encode()
                head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (
                    method, target, host, int(timeout * 1000), len(data))
                writer.write(head.encode() + data)
                answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = next((int(it.split(":")[1]) for it in answer.split("\r\n") if it.lower().startswith("content-length:")), 0)
                content = await reader.readexactly(length)
                return int(answer.split(" ")[1]), content.decode()
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(go(), timeout)
        except asyncio.TimeoutError:
            return None, "no answer in time"
        except (OSError, asyncio.IncompleteReadError) as ec:
            return None, "no answer: %s" % type(ec).__name__

    async def submit(self, target, job, nodes=None, tries=5, pause=1.0, budget=3.0):
        """Hands a job in as a client does, with retries at other processes until its time budget has passed. Returns the list of answers."""
        nodes = list(range(self.node_count)) if nodes is None else nodes
        answers = []
        end = self.now() + budget
        for i in range(tries):
            if self.now() > end:
                self.note("client", "gives %s up: its time budget has passed" % target)
                break
            node = nodes[i % len(nodes)]
            status, body = await self.call(self.client_ports[node], "POST", target, body=job)
            answers.append(status)
            self.note("client", "POST %s at %s: %s %s" % (target, self.node_names[node], status, body if status != 200 else ""))
            if status is not None and 200 <= status < 300:
                break
            await asyncio.sleep(pause)
        return answers

    async def state(self, target, nodes=None):
        """Asks for a job's state at each process until one answers."""
        nodes = list(range(self.node_count)) if nodes is None else nodes
        status, body = None, ""
        for node in nodes:
            status, body = await self.call(self.client_ports[node], "GET", target)
            if status == 200:
                self.note("client", "GET %s at %s: 200 %s" % (target, self.node_names[node], body))
                return json.loads(body)["state"]
        self.note("client", "GET %s: %s %s" % (target, status, body))
        return status

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            if time.monotonic() > end:
                raise CannotRun("waited in vain for " + what)
            await asyncio.sleep(0.05)

    async def stop(self):
        for it in self.tasks:
            it.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for it in self.servers:
            it.close()
        if os.environ.get("KEEP"):
            print("kept " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, **more):
    """Returns a queue of the configuration."""
    out = {"name": name, "host": "svc.example", "path-prefix": prefix, "service": "svc", "priority": 0, "max-attempts": 2, "slack-factor": 1.5,
           "target-completion-ms": 500, "timeout-ms": 3000}
    out.update(more)
    return out


def run_case(case_folder, node_count, workers, body):
    """Runs a case: `body(lab)` returns True if the rule held. Exits with 0, 1 or 2."""

    async def go():
        lab = Lab(case_folder, node_count, workers)
        # A script that is told to end still ends the processes that it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            lab.note("lab", "trouble is %s" % ("on" if lab.trouble else "off"))
            held = await asyncio.wait_for(body(lab), 110)
            code = 0 if held else 1
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as ec:
            lab.note("lab", "the case could not run: %s" % (str(ec) or type(ec).__name__))
            code = 2
        finally:
            await lab.stop()
        lab.note("result", {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[code])
        return code

    code = asyncio.run(go())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
