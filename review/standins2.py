"""Stand-ins for the cases of the second review: a table store, endpoints and callers on loopback addresses.

The routers are real processes; everything else runs in the process of the case. The stand-ins follow the users' pages.

Sections
  1. HTTP            the little that the stand-ins need
  2. store           rows with versions, a feed, a copy to come back from, `Store-Era`
  3. endpoints       plain services and model engines that register themselves
  4. callers         requests over kept channels, streams that are taken up again
  5. deployment      settings and processes of the routers, the record, the desired state
"""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "app.example"
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
CONTACT_S = 3.0
INTERNAL_PORTS = 16
# The addresses of a case are its own, so that a port that is free at one of them is free at all.
NET = f"127.{64 + os.getpid() // 250 % 100}.{1 + os.getpid() % 250}"


def find_free_ports(count):
    """The first of `count` consecutive ports that are free for TCP and UDP."""
    for first in range(20000 + os.getpid() % 1000 * 10, 32000, count):
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind((f"{NET}.1", port))
            return first
        except OSError:
            continue
        finally:
            for taken in sockets:
                taken.close()
    raise RuntimeError("no free ports")


FIRST_PORT = find_free_ports(5 + INTERNAL_PORTS)
ENTRY_PORT, READY_PORT, CONTROL_PORT, STORE_PORT, ENDPOINT_PORT, INTERNAL_PORT = range(FIRST_PORT, FIRST_PORT + 6)


# ----------------------------------------------------------------------------------------------------------------------
# 1. HTTP
# ----------------------------------------------------------------------------------------------------------------------


async def read_head(reader):
    """First line and headers (names in lower case)."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:size]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while piece := await read_chunk(reader):
            body += piece
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def make_response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1 on one address. `handle(method, target, headers, body, writer)` writes the response."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512)

    def stop(self):
        """Like the end of the process: the listener and all channels close at once."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


# ----------------------------------------------------------------------------------------------------------------------
# 2. store
# ----------------------------------------------------------------------------------------------------------------------


class Store(Server):
    def __init__(self, host, record):
        super().__init__(host, STORE_PORT)
        self.record = record
        self.rows, self.history, self.version, self.era = {}, [], 0, 1
        self.reported = {}  # time of the last report, by key of the table `servers`
        self.away = False
        self.changed = asyncio.Event()
        self.copies = []  # (time, rows, history, version), newest last

    async def start(self):
        await super().start()
        self.keeper = asyncio.create_task(self.keep())

    async def keep(self):
        """Removes entries after three report intervals of silence, and copies the rows now and then."""
        while True:
            now = time.time()
            for key, at in list(self.reported.items()):
                if now - at > EXPIRY_S and not self.away:
                    del self.reported[key]
                    self.write("servers", key, None)
            self.copies = [copy for copy in self.copies if copy[0] > now - 10]
            self.copies.append((now, dict(self.rows), list(self.history), self.version))
            await asyncio.sleep(0.1)

    def write(self, table, key, value, part=""):
        row = (table, part, key)
        if value is None and row not in self.rows:
            return
        self.version += 1
        if value is None:
            del self.rows[row]
        else:
            self.rows[row] = (value, self.version)
        self.history.append((self.version, row))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """A write of the operator or an endpoint. Returns False while the store is away."""
        if self.away:
            return False
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        if table == "servers":
            self.reported[key] = time.time()
        known = self.rows.get((table, "", key))
        if known is None or known[0] != encoded:
            self.write(table, key, encoded)
        return True

    def leave(self):
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self, age):
        """Comes back from the copy that is `age` seconds old."""
        at = time.time() - age
        chosen = ([copy for copy in self.copies if copy[0] <= at] or self.copies[:1])[-1]
        _, rows, history, version = chosen
        self.rows, self.history, self.version = dict(rows), list(history), version
        self.era += 1
        self.reported = {key: time.time() for table, _, key in self.rows if table == "servers"}
        self.copies = []
        self.away = False
        self.changed.set()
        self.changed = asyncio.Event()

    def row_json(self, row):
        table, part, key = row
        found = self.rows.get(row)
        base = {"table": table, "part": part, "key": key}
        return {**base, "value": found[0], "ver": found[1]} if found else {**base, "deleted": True, "ver": self.version}

    async def handle(self, method, target, headers, body, writer):
        if self.away:
            writer.transport.abort()
            return
        path, _, query_text = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query_text.split("&") if pair)
        await asyncio.sleep(0.003)
        status, answer = 404, {}
        if path == "/rows-get":
            status, answer = 200, self.read(query)
        elif path == "/rows-feed":
            status, answer = await self.feed(query)
        elif path == "/rows-tx":
            status, answer = self.transact(json.loads(body))
        if self.away:
            writer.transport.abort()
            return
        answer.update({"ver": answer.get("ver", self.version), "now_ms": int(time.monotonic() * 1000)})
        writer.write(make_response(status, {"Content-Type": "application/json", "Store-Era": self.era},
                                   json.dumps(answer).encode()))

    def read(self, query):
        unquote = urllib.parse.unquote
        table, start, end = query["table"], unquote(query.get("from", "")), unquote(query.get("to", ""))
        rows = sorted(row for row in self.rows if row[0] == table and row[1] == query.get("part", "") and
                      row[2] >= start and (not end or row[2] < end))
        return {"rows": [self.row_json(row) for row in rows], "has_more": False}

    async def feed(self, query):
        table, after, era = query["table"], int(query["after"]), self.era
        end = time.time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if self.era != era or after > self.version:
                return 410, {}
            changed = []
            for version, row in self.history:
                if version > after and row[0] == table:
                    if row in changed:
                        changed.remove(row)
                    changed.append(row)
            left = end - time.time()
            if changed or left <= 0 or self.away:
                return 200, {"rows": [self.row_json(row) for row in changed]}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        of = lambda item: (item["table"], item.get("part", ""), item["key"])
        failed = [of(item) for item in body.get("expected", []) if self.rows.get(of(item), ("", 0))[1] != item["ver"]]
        if failed:
            return 412, {"rows": [self.row_json(of(item)) for item in body["expected"]]}
        self.version += 1
        for item in body.get("puts", []):
            self.rows[of(item)] = (item["value"], self.version)
            self.history.append((self.version, of(item)))
        for item in body.get("remove", []):
            if self.rows.pop(of(item), None):
                self.history.append((self.version, of(item)))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {}


# ----------------------------------------------------------------------------------------------------------------------
# 3. endpoints
# ----------------------------------------------------------------------------------------------------------------------


class Endpoint(Server):
    """A plain service (no stage) or a model engine. `version`: of its software. `first_entry_s`: from its start to its
    first report. `tokens()`: of each event, and of the whole answer."""

    def __init__(self, host, record, store, name, service, stage=None, version="v1", events=60, interval_s=0.03,
                 first_entry_s=0.0, tokens=None):
        super().__init__(host, ENDPOINT_PORT)
        self.record, self.store, self.name, self.service = record, store, name, service
        self.stage, self.version, self.events, self.interval_s = stage, version, events, interval_s
        self.first_entry_s, self.tokens = first_entry_s, tokens
        self.next_id, self.orders, self.fence, self.busy, self.running = 0, 0, 0, False, 0
        self.state, self.task, self.holds, self.handles = "ready", None, {}, set()

    async def start(self):
        self.born = int(time.time() * 1000)
        await super().start()
        self.task = asyncio.create_task(self.report())

    def stop(self):
        super().stop()
        if self.task:
            self.task.cancel()

    def entry(self):
        entry = {"service": self.service, "address": f"{self.host}:{self.port}", "zone": "zone-a",
                 "version": self.version, "slots": 16, "state": self.state, "cold_remaining_ms": 0,
                 "born": self.born, "seq": 1}
        if self.stage:
            entry.update({"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]})
        return entry

    async def report(self):
        await asyncio.sleep(self.first_entry_s)
        while True:
            self.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method, target, headers, body, writer):
        attempt = headers.get("persimmonchute-attempt-id", "")
        reply = lambda status, answer=None, extra=None: writer.write(make_response(
            status, {**({"Persimmonchute-Attempt-Id": attempt} if attempt else {}), **(extra or {})},
            json.dumps(answer).encode() if answer is not None else b""))
        refused = {"Persimmonchute-Not-Executed": "1"}
        if headers.get("persimmonchute-expect-instance", self.name) != self.name:
            return reply(421, None, {**refused, "Persimmonchute-Instance-Id": self.name})
        if target == "/health":
            return reply(200, None, {"Persimmonchute-Instance-Id": self.name})
        if target == "/report":
            return reply(200, {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                               "busy": self.busy, "seq": self.orders, "queued": 0, "running": self.running,
                               "kv_used": 0, "kv_total": 34446, "kv_handles": len(self.handles), "born": self.born})
        if target == "/hold-take":
            self.next_id += 1
            hold = f"{self.name}-{self.born}-{self.next_id}"
            self.holds[hold] = time.time() + json.loads(body)["ttl_ms"] / 1000
            return reply(200, {"hold": hold})
        if target.startswith("/hold-drop/") or target.startswith("/kv-handle/"):
            return reply(200)
        if target == "/order":
            return reply(self.accept_order(json.loads(body)))
        if not attempt:
            return reply(400, None, refused)
        if self.stage is None:
            return await self.answer_plain(method, target, attempt, writer)
        is_prefill = headers.get("persimmonchute-stage") == "prefill"
        if is_prefill != (self.stage == "prefill"):
            return reply(421, None, refused)
        if self.busy:
            return reply(503, None, refused)
        if is_prefill:
            await asyncio.sleep(0.1)
            self.next_id += 1
            handle = f"{self.born}{self.next_id:04d}"
            self.handles.add(handle)
            return reply(200, {"handle": handle, "tokens": 3200, "version": 1})
        await self.stream(headers, attempt, writer)

    def accept_order(self, order):
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        if order["stage"] == self.stage:
            return 200
        self.orders += 1
        self.busy = True

        async def switch():
            await asyncio.sleep(0.5)
            self.stage, self.busy = order["stage"], False
            self.store.put("servers", self.name, self.entry())

        asyncio.create_task(switch())
        return 202

    def seal(self, attempt):
        return f"seal.{self.name}.{self.version}.{attempt}"

    async def answer_plain(self, method, target, attempt, writer):
        self.record("run", endpoint=self.name, attempt=attempt)
        await asyncio.sleep(0.05)
        writer.write(make_response(200, {"Persimmonchute-Attempt-Id": attempt,
                                         "Persimmonchute-Server-Seal": self.seal(attempt)},
                                   f"answer of {self.name} to {attempt}".encode()))

    def ids(self):
        """Ids of the events of a stream, which rise: they count the events, or with `tokens` the tokens so far."""
        if not self.tokens:
            return list(range(1, self.events + 1))
        stride, total = self.tokens()
        return [*range(stride, total, stride), total]

    async def stream(self, headers, attempt, writer):
        after = int(headers.get("last-event-id", "0") or "0")
        self.record("run", endpoint=self.name, version=self.version, attempt=attempt, after=after,
                    resumes=headers.get("resumes", ""))
        self.running += 1
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nPersimmonchute-Attempt-Id: {attempt}\r\n"
                          f"Persimmonchute-Server-Seal: {self.seal(attempt)}\r\nContent-Type: text/event-stream\r\n"
                          f"Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in self.ids():
                if number <= after:
                    continue
                event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.interval_s)
                if writer.transport.is_closing():
                    return
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


# ----------------------------------------------------------------------------------------------------------------------
# 4. callers
# ----------------------------------------------------------------------------------------------------------------------


class Stream:
    """One client attempt of a streaming request, and what its caller saw."""

    def __init__(self, attempt, router, first=None, after=0, begin=None):
        self.attempt, self.router, self.first, self.after = attempt, router, first, after
        self.begin = begin or time.time()  # of the first attempt
        self.sent_at, self.ended_at, self.status, self.seal, self.body = time.time(), None, 0, "", b""
        self.is_complete, self.end, self.first_event_at, self.retry_after = False, "", None, None
        self.was_kept = False  # its channel had carried an answer before

    def events(self):
        """(id, version) of the whole events."""
        seen = []
        for block in self.body.decode().split("\n\n")[:-1]:
            fields = dict(line.partition(": ")[::2] for line in block.split("\n"))
            seen.append((int(fields["id"]), fields["data"].split(" ")[0]))
        return seen

    def last_id(self):
        seen = self.events()
        return seen[-1][0] if seen else self.after


class Caller:
    """Sends streaming requests over kept channels."""

    GAP_S = 3.6  # four times the objective of 900 ms, the longest of the gaps that the pages name

    def __init__(self, deployment, record):
        self.deployment, self.record, self.number, self.kept = deployment, record, 0, {}

    def new(self, router, **more):
        self.number += 1
        return Stream(f"{self.number:04x}{os.getpid():08x}", router, **more)

    async def send(self, stream, path="/digest/1"):
        deployment = self.deployment
        host = deployment.host(stream.router)
        left_ms = int(14000 - (time.time() - stream.begin) * 1000)
        kept = self.kept.setdefault(stream.router, [])
        self.record("sent", attempt=stream.attempt, router=stream.router, after=stream.after,
                    resumes=stream.first.attempt if stream.first else "")
        writer = None
        try:
            stream.was_kept = bool(kept) and not stream.first  # a retry opens a new channel
            reader, writer = kept.pop() if stream.was_kept else await asyncio.wait_for(
                asyncio.open_connection(host, ENTRY_PORT), 1.0)
            body = b"prompt of " + stream.attempt.encode()
            head = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Persimmonchute-Attempt-Id: {stream.attempt}",
                    "Persimmonchute-Model: m", "Persimmonchute-Token-Count: 3200,170",
                    "Persimmonchute-Length-Hint: 70",
                    f"Persimmonchute-Prompt-Prefix: 5c1e{self.number % 50:04x}:200,{self.number:08x}:3000",
                    f"Persimmonchute-Deadline-Ms: {left_ms}", f"Content-Length: {len(body)}"]
            if stream.first:
                head += [f"Resumes: {stream.first.attempt}", f"Last-Event-Id: {stream.after}"]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            first, headers = await asyncio.wait_for(read_head(reader), self.GAP_S)
            stream.status, stream.seal = int(first.split(" ")[1]), headers.get("persimmonchute-server-seal", "")
            stream.retry_after = headers.get("retry-after")
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while piece := await asyncio.wait_for(read_chunk(reader), self.GAP_S):
                    stream.first_event_at = stream.first_event_at or time.time()
                    stream.body += piece
            else:
                stream.body = await asyncio.wait_for(read_body(reader, headers), self.GAP_S)
            stream.is_complete, stream.end = True, "whole"
            if headers.get("connection", "").lower() != "close":
                kept.append((reader, writer))
                writer = None
        except asyncio.TimeoutError:
            stream.end = "gap"
        except (OSError, asyncio.IncompleteReadError, ValueError) as failure:
            stream.end = f"broken channel ({type(failure).__name__})"
        finally:
            if writer:
                writer.close()
        stream.ended_at = time.time()
        if stream.status == 200:
            seen = stream.events()
            about = {"events": len(seen), "last": stream.last_id(), "versions": sorted({version for _, version in seen})}
        else:
            about = {"text": stream.body.decode(errors="replace"), "retry_after": stream.retry_after}
        self.record("answered", attempt=stream.attempt, router=stream.router, status=stream.status, end=stream.end,
                    kept_channel=stream.was_kept, seal=stream.seal, **about)
        return stream


# ----------------------------------------------------------------------------------------------------------------------
# 5. deployment
# ----------------------------------------------------------------------------------------------------------------------


class Deployment:
    def __init__(self, folder, routers=5):
        self.folder = Path(folder)
        self.lines, self.began = [], time.time()
        self.net = NET
        self.router_count, self.processes, self.endpoints = routers, {}, {}
        self.next_endpoint = 0
        self.work = tempfile.TemporaryDirectory(prefix="persimmon-review-")
        self.store = Store(f"{self.net}.250", self.record)

    def record(self, what, **fields):
        text = " ".join(f"{name}={value!r}" for name, value in fields.items())
        self.lines.append(f"{time.time() - self.began:8.3f} {what} {text}")

    def write_record(self):
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")

    def host(self, router):
        return f"{self.net}.{router}"

    def start_router(self, router, bootstrap=False):
        host = self.host(router)
        values = {
            "node_name": f"front-zone-a-{router}", "role": "router", "machine_class": "front", "serves": "front,control",
            "ip": host, "zone": "zone-a", "region": "region-a", "zones.zone-a": "region-a",
            "listen.front": f"{host}:{ENTRY_PORT}", "listen.ready": f"{host}:{READY_PORT}",
            "listen.control": f"{host}:{CONTROL_PORT}", "internal_ports": f"{INTERNAL_PORT},{INTERNAL_PORT + INTERNAL_PORTS - 1}",
            "seeds": ",".join(f"{self.host(seed)}:{CONTROL_PORT}" for seed in (1, 2, 3)),
            "bootstrap": "true" if bootstrap else "false", "limits.memory_mb": 110, "limits.max_fds": 4100,
            "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds.contact_ms": 3000, "bounds.drain_ms": 2000,
            "bounds.grace_s": 8, "bounds.config_apply_ms": 2000, "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10, "bounds.retry_budget_slack": 56, "bounds.recover_s": 12,
            "bounds.fencing_required": "true", "bounds.lease_ms": 3000, "bounds.thaw_ms": 300,
            "platform.address": f"{self.store.host}:{STORE_PORT}", "platform.form": "table",
            "platform.writes_per_s": 400, "platform.reads_per_s": 2000, "platform.history_s": 20}
        settings = Path(self.work.name) / f"router-{router}.conf"
        settings.write_text("".join(f"{key}={value}\n" for key, value in values.items()))
        log = open(Path(self.work.name) / f"router-{router}.log", "ab")
        self.processes[router] = subprocess.Popen(
            ["target/bin/persimmon-router", "--config", "config/platform/router.ini"], cwd=ROOT, stdout=log, stderr=log,
            env={**os.environ, "PERSIMMONCHUTE_SETTINGS": str(settings)})
        log.close()

    def signal(self, router, number):
        self.record("signal", router=router, signal=signal.Signals(number).name)
        self.processes[router].send_signal(number)

    def add_endpoint(self, service, **more):
        self.next_endpoint += 1
        name = f"i-{self.next_endpoint:04x}"
        endpoint = Endpoint(f"{self.net}.{100 + self.next_endpoint}", self.record, self.store, name, service, **more)
        self.endpoints[name] = endpoint
        return endpoint

    def desired_state(self, version):
        route = lambda name, kind, service, attempts, **more: {
            "name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service, "priority": 1,
            "max_attempts": attempts, **more}
        engine = {"slots": 16, "kv_capacity_tokens": 34446, "stride": 1, "handle_ttl_s": 0.5, "role_switch_s": 0.5,
                  "hold_ms": 2000}
        return {"version": version,
                "routes": [route("digest", "streaming", "llm", 2, timeout_ms=14000, target_latency_ms=900,
                                 gap_aim_ms=300, sticky=True, resumable=True),
                           route("question", "streaming", "llm", 1, timeout_ms=14000, target_latency_ms=900,
                                 gap_aim_ms=300, sticky=True),
                           route("submit", "non_idempotent", "app", 1, timeout_ms=1500, target_latency_ms=300),
                           route("pages", "idempotent", "app", 2, timeout_ms=1500, target_latency_ms=300)],
                "services": [{"name": "llm", "health_path": "/health", "max_conns": 180, "engine": engine},
                             {"name": "app", "health_path": "/health", "max_conns": 110}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                           "idle_timeout_ms": 30000}}

    async def start(self, decode=10, prefill=3, **engine):
        """Starts the store, the endpoints and the routers, and waits until all routers are ready."""
        await self.store.start()
        self.store.put("op", "config", self.desired_state(1))
        for _ in range(prefill):
            await self.add_endpoint("llm", stage="prefill", **engine).start()
        for _ in range(decode):
            await self.add_endpoint("llm", stage="decode", **engine).start()
        for router in range(1, self.router_count + 1):
            self.start_router(router, bootstrap=True)
        for router in range(1, self.router_count + 1):
            await self.wait_ready(router)
        self.record("ready")

    async def wait_ready(self, router, seconds=10):
        end = time.time() + seconds
        while time.time() < end:
            try:
                reader, writer = await asyncio.open_connection(self.host(router), READY_PORT)
                writer.write(f"GET /readiness HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
                first, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in first:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"router {router} is not ready")

    def router_log(self, router):
        return (Path(self.work.name) / f"router-{router}.log").read_text(errors="replace")

    def stop(self):
        keep = os.environ.get("KEEP_LOGS")
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if keep:
            for router in self.processes:
                (Path(keep) / f"router-{router}.log").write_text(self.router_log(router))
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.store.stop()
        self.work.cleanup()


def run_case(folder, case, seconds=110):
    """Runs `case(deployment)`, which returns True if the rule held. Exits with 0, 1 if it was broken, 2 if the case could
    not run."""
    deployment = Deployment(folder)

    async def guarded():
        """Without cancelling the case, which might not end then."""
        task = asyncio.create_task(case(deployment))
        done, _ = await asyncio.wait({task}, timeout=seconds)
        if not done:
            raise TimeoutError(f"the case has not ended within {seconds} s")
        return task.result()

    def end(*_):
        raise SystemExit(2)

    code = 2
    signal.signal(signal.SIGTERM, end)
    try:
        code = 0 if asyncio.new_event_loop().run_until_complete(guarded()) else 1
    except (Exception, SystemExit, KeyboardInterrupt) as failure:  # the case could not run; the record says why
        deployment.record("could not run", reason=repr(failure))
        print(f"could not run: {failure!r}")
    finally:
        deployment.stop()
        deployment.record("result", exit=code)
        deployment.write_record()
        sys.stdout.flush()
        os._exit(code)  # without the warnings of channels that are still open
