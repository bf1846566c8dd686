"""Stand-ins for the scripts of this review: the platform's store, replicas and clients, on loopback addresses.

They follow PROTOCOL.md: the store keeps rows with one version counter and serves rows-get, rows-feed and rows-tx;
replicas echo the attempt id, seal what they have run, and answer 421 if another instance is expected. A script changes
only what its claim names. Standard library only.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "app.example"
SEAL = "Persimmonchute-Server-Seal"
ATTEMPT = "Persimmonchute-Attempt-Id"
STARTED_MS = int(time.time() * 1000)
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000, "config_apply_ms": 2000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56}


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """The file record.txt beside the script: what was sent, answered and run, with seconds since the start."""

    def __init__(self, script):
        self.begin = time.monotonic()
        self.file = open(Path(script).resolve().parent / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f}  {text}\n")
        self.file.flush()


# ----------------------------------------------------------------------------------------------------------------------
# HTTP
# ----------------------------------------------------------------------------------------------------------------------


class Message:
    """A request or a response; `first` is its first line."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
    return Message(first, headers)


async def read_message(reader, is_response=False):
    """Raises IncompleteReadError if the message ends early, as a sound client sees it."""
    message = await read_head(reader)
    if message.header("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            message.body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return message
    elif message.header("Content-Length"):
        message.body = await reader.readexactly(int(message.header("Content-Length")))
    elif is_response:
        message.body = await reader.read()
    return message


def encode(first, headers, body=None):
    lines = [first] + [f"{key}: {value}" for key, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


async def serve(host, on_request, port=0):
    """Serves connections one request at a time. `on_request(request, writer)` writes the response and returns False to
    end the connection. Returns the server, its port and its open connections."""
    connections = set()

    async def run(reader, writer):
        connections.add(writer)
        try:
            while await on_request(await read_message(reader), writer) is not False:
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=1 << 20, backlog=1000)
    return server, server.sockets[0].getsockname()[1], connections


# ----------------------------------------------------------------------------------------------------------------------
# the platform's store
# ----------------------------------------------------------------------------------------------------------------------


class Store:
    def __init__(self):
        self.rows = {}  # (table, key): (version, bytes or None)
        self.version = 0
        self.changed = asyncio.Condition()

    async def start(self, host="127.0.0.1"):
        self.server, port, _ = await serve(host, self.handle)
        self.address = f"{host}:{port}"

    async def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (self.version, None if value is None else json.dumps(value).encode())
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def row(table, key, version, value):
        row = {"table": table, "part": "", "key": key, "ver": version}
        return {**row, "deleted": True} if value is None else {**row, "value": base64.b64encode(value).decode()}

    def select(self, table, after=0, with_deleted=False):
        found = [(version, key, value) for (of, key), (version, value) in self.rows.items()
                 if of == table and version > after and (with_deleted or value is not None)]
        return found

    async def handle(self, request, writer):
        method, target, _ = request.first.split()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, body = 404, {}
        if url.path == "/rows-get":
            rows = sorted(self.select(query["table"]), key=lambda item: item[1].encode())
            rows = [item for item in rows if query.get("from", "") <= item[1] < query.get("to", "\U0010ffff")]
            status, body = 200, {"rows": [self.row(query["table"], key, v, value) for v, key, value in rows],
                                 "has_more": False}
        elif url.path == "/rows-feed":
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            after = int(query["after"])
            while not self.select(query["table"], after, True) and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                    except asyncio.TimeoutError:
                        pass
            rows = sorted(self.select(query["table"], after, True))
            status, body = 200, {"rows": [self.row(query["table"], key, v, value) for v, key, value in rows]}
        elif url.path == "/rows-tx":
            status, body = await self.commit(json.loads(request.body))
        body.update({"ver": self.version, "now_ms": int(time.monotonic() * 1000)})
        writer.write(encode(f"HTTP/1.1 {status} x", [("Content-Type", "application/json")], json.dumps(body).encode()))

    async def commit(self, call):
        current = {(row["table"], row["key"]): self.rows.get((row["table"], row["key"]), (0, None))
                   for row in call.get("expected", [])}
        for row in call.get("expected", []):
            version, value = current[row["table"], row["key"]]
            if (0 if value is None else version) != row["ver"]:
                return 412, {"rows": [self.row(*name, *found) for name, found in current.items()]}
        for row in call.get("puts", []):
            self.rows[row["table"], row["key"]] = (self.version + 1, base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            self.rows[row["table"], row["key"]] = (self.version + 1, None)
        self.version += 1
        async with self.changed:
            self.changed.notify_all()
        return 200, {}


def route(prefix, kind, service="app", **fields):
    return {"name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 3000,
            "target_latency_ms": 300, "priority": 1, "max_attempts": 1, **fields}


def desired_state(routes, services=None, version=1, **limits):
    services = services or [{"name": "app", "health_path": "/health", "max_conns": 110}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **limits}}


# ----------------------------------------------------------------------------------------------------------------------
# replicas
# ----------------------------------------------------------------------------------------------------------------------


def entry(address, service="app", state="ready", **fields):
    return {"service": service, "address": address, "zone": "zone-a", "version": "1", "slots": 6, "state": state,
            "cold_remaining_ms": 0, "seq": 1, "born": STARTED_MS, **fields}


def answer_headers(request, name):
    return [(ATTEMPT, request.header(ATTEMPT)), (SEAL, f"seal.{name}.{request.header(ATTEMPT)}"),
            ("Persimmonchute-Server-Load", "1,0,6"), ("Keep-Alive", "timeout=5")]


def not_executed(status, request, name):
    return encode(f"HTTP/1.1 {status} x", [(ATTEMPT, request.header(ATTEMPT)), ("Persimmonchute-Not-Executed", "1"),
                                          ("Persimmonchute-Instance-Id", name)], b"")


class Replica:
    """A plain replica. `answer(request, writer)`: writes the response of a request that it runs; None: a short one."""

    def __init__(self, name, record, answer=None, work_s=0.0):
        self.name, self.record, self.answer, self.work_s = name, record, answer, work_s
        self.runs = []

    async def start(self, host="127.0.0.1", port=0):
        self.server, port, self.connections = await serve(host, self.handle, port)
        self.address = f"{host}:{port}"

    def stop(self):
        """Ends like a process that exits: all its channels are closed."""
        self.server.close()
        for writer in list(self.connections):
            writer.close()

    async def register(self, store, **fields):
        await store.put("servers", self.name, entry(self.address, **fields))

    async def handle(self, request, writer):
        path = request.first.split()[1]
        if path == "/health":
            writer.write(encode("HTTP/1.1 200 OK", [("Persimmonchute-Instance-Id", self.name)], b""))
            return True
        if request.header("Persimmonchute-Expect-Instance") not in ("", self.name):
            writer.write(not_executed(421, request, self.name))
            return True
        if not request.header(ATTEMPT):
            writer.write(not_executed(400, request, self.name))
            return True
        self.runs.append((request.header(ATTEMPT), request.first))
        self.record.write(f"replica {self.name} runs {request.header(ATTEMPT)}: {request.first}")
        if self.answer is not None:
            return await self.answer(request, writer)
        await asyncio.sleep(self.work_s)
        writer.write(encode("HTTP/1.1 200 OK", answer_headers(request, self.name), b"answer to " +
                            request.header(ATTEMPT).encode()))
        return True


# ----------------------------------------------------------------------------------------------------------------------
# the router
# ----------------------------------------------------------------------------------------------------------------------


def free_ports(count):
    import socket
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Router:
    """A process of the program, started with the command of deploy/system.toml in the repository's root."""

    def __init__(self, record, store, index=1, before_start=None, memory_mb=110, max_fds=4100, bounds=None,
                 host="127.0.0.1", ports=None, seeds=()):
        program = ROOT / "target/bin/persimmon-router"
        if not program.exists():
            raise CannotRun(f"{program} is missing; build the deploy file first")
        self.record, self.before_start = record, before_start
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        front, ready, control, internal = ports or free_ports(4)
        self.host, self.front, self.ready, self.control = host, front, ready, control
        lines = {"node_name": f"front-a-{index}", "role": "router", "machine_class": "front", "serves": "front,control",
                 "ip": host, "zone": "zone-a", "region": "region", "zones.zone-a": "region",
                 "listen.front": f"{host}:{front}", "listen.ready": f"{host}:{ready}",
                 "listen.control": f"{host}:{control}", "internal_ports": f"{internal},{internal}",
                 "seeds": ",".join(f"{seed}:{control}" for seed in seeds or (host,)), "bootstrap": "true", "limits.cores": 1,
                 "limits.memory_mb": memory_mb, "limits.max_fds": max_fds, "discovery": "platform", "entry": "vip",
                 "heartbeat_ms": 1200, "platform.address": store.address, "platform.form": "table"}
        lines.update({f"bounds.{name}": value for name, value in {**BOUNDS, **(bounds or {})}.items()})
        self.lines = lines
        self.settings = self.folder / "node.conf"
        self.child = None

    def start(self):
        self.settings.write_text("".join(f"{key}={value}\n" for key, value in self.lines.items()))
        self.lines["bootstrap"] = "false"  # at every later start
        self.output = open(self.folder / "router.log", "ab")
        self.child = subprocess.Popen(
            ["target/bin/persimmon-router", "--config", "config/platform/router.ini"], cwd=ROOT, stdout=self.output,
            stderr=self.output, preexec_fn=self.before_start,
            env={"PATH": os.environ["PATH"], "PERSIMMONCHUTE_SETTINGS": str(self.settings)})
        self.record.write(f"router started, pid {self.child.pid}, clients at {self.host}:{self.front}")

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    async def await_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the router does not become ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
            writer.write(encode("GET /readiness HTTP/1.1", [("Host", "ready")]))
            message = await asyncio.wait_for(read_message(reader, True), 1)
            writer.close()
            return message.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def status_kb(self, field):
        for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
        return 0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def end(self):
        if self.child is not None:
            if self.child.poll() is None:
                self.child.send_signal(signal.SIGCONT)
                self.child.kill()
            self.child.wait()
            self.output.close()
        keep = os.environ.get("KEEP_LOGS")  # an existing folder for the routers' logs
        if keep and self.child is not None:
            shutil.copy(self.folder / "router.log", Path(keep) / f"{self.lines['node_name']}.log")
        shutil.rmtree(self.folder, ignore_errors=True)


# ----------------------------------------------------------------------------------------------------------------------
# clients
# ----------------------------------------------------------------------------------------------------------------------


def request_headers(attempt, deadline_ms=3000, **more):
    return [("Host", HOST), (ATTEMPT, attempt), ("Persimmonchute-Deadline-Ms", str(deadline_ms)),
            *[(key.replace("_", "-"), value) for key, value in more.items()]]


class Client:
    """A kept channel to a router."""

    def __init__(self, router):
        self.router = router
        self.reader = self.writer = None

    async def call(self, method, path, attempt, body=None, seconds=4.0, deadline_ms=3000, **more):
        """Returns the response; raises OSError, IncompleteReadError or TimeoutError if there is no whole one."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.router.host, self.router.front, limit=1 << 20), 1)
        self.writer.write(encode(f"{method} {path} HTTP/1.1", request_headers(attempt, deadline_ms, **more),
                                 body if body is not None or method == "GET" else b""))
        response = await asyncio.wait_for(read_message(self.reader, True), seconds)
        if response.header("Connection").lower() == "close":
            self.close()
        return response

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def run(script, case, seconds=115):
    """Runs `case(record, trouble)`, which returns True if the rule held, and exits as the issue asks."""
    record = Record(script)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"start, TROUBLE={1 if trouble else 0}")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), seconds))
    except Exception as failure:  # whatever stops the case: it could not run
        record.write(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}", file=sys.stderr)
        os._exit(2)
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    print("held" if held else "broken")
    sys.stdout.flush()
    os._exit(0 if held else 1)
