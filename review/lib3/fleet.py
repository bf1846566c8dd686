"""Starts a small deployment for a case: the store, replicas and routers as processes of their own, on loopback.

The routers are started with the command of deploy/system.toml and a settings file with the fields of DEPLOY.md.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import store
import wire

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))

# The bounds of nastavnik-ops (SYSTEM.md).
SETTINGS = """node_name={name}
role=router
machine_class=front
serves=front,control
ip={host}
zone=sofia-a
region=sofia
zones.sofia-a=sofia
listen.front={host}:{front}
listen.ready={host}:{ready}
listen.control={host}:{control}
internal_ports={internal},{internal_end}
seeds={seeds}
bootstrap={bootstrap}
loss_eligible=false
limits.cpu_share=0.19
limits.cores=1
limits.memory_mb={memory_mb}
limits.max_fds={max_fds}
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms={contact_ms}
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=56
bounds.recover_s=12
bounds.transit_ms=120
bounds.again_s=7.5
bounds.fencing_required=true
bounds.lease_ms=3000
bounds.thaw_ms=300
platform.address={store}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx_ms=3.0
platform.part_writes_s=300
platform.row_bytes=65536
platform.across=true
platform.history_s=20
"""


class CannotRun(Exception):
    """The case could not be played; the exit code is 2."""


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Fleet:
    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="persimmon-review-")
        self.processes = {}
        self.store_port = None
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run = "([^"]+)"', file.read(), re.MULTILINE).group(1).split()

    def path(self, name):
        return os.path.join(self.folder, name)

    def start(self, name, command, environment=None):
        out = open(self.path(name + ".out"), "ab")
        base = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out, stdin=subprocess.DEVNULL,
                                                env={**base, **(environment or {})})
        return self.processes[name]

    def start_store(self, expiry_s=3.6):
        self.store_port = free_port()
        self.start("store", [sys.executable, "-B", os.path.join(LIB, "store.py"), "--port", str(self.store_port),
                             "--expiry-s", str(expiry_s)])

    def store_address(self):
        return f"127.0.0.1:{self.store_port}"

    def start_replica(self, program, name, port, *options):
        return self.start(name, [sys.executable, "-B", os.path.join(LIB, program), "--id", name, "--port", str(port),
                                 "--store", self.store_address(), "--log", self.path("arrivals.jsonl"), *options])

    def start_router(self, name, host="127.0.0.1", **settings):
        ports = {key: free_port(host=host) for key in ("front", "ready", "control")}
        return self.start_router_at(name, host, ports, free_port(socket.SOCK_DGRAM, host), **settings)

    def start_router_at(self, name, host, ports, internal, **settings):
        """`bootstrap` is true only at the first start of the system (DEPLOY.md)."""
        fields = {"seeds": f"{host}:{ports['control']}", "memory_mb": 110, "max_fds": 4100, "contact_ms": 3000,
                  "bootstrap": "true", **settings}
        text = SETTINGS.format(name=name, host=host, internal=internal, internal_end=internal + 15,
                               store=self.store_address(), **ports, **fields)
        path = self.path(name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        program = os.path.join(ROOT, self.command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is missing: run the build of deploy/system.toml first")
        self.start(name, [program, *self.command[1:]], {"PERSIMMONCHUTE_SETTINGS": path})
        return {"host": host, "internal": internal, **ports}

    async def wait_for_port(self, port, host="127.0.0.1", limit_s=10.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                _, writer = await asyncio.open_connection(host, port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun(f"nothing listens on port {port}")

    async def wait_ready(self, router, limit_s=15.0):
        request = f"GET /readiness HTTP/1.1\r\nHost: {router['host']}\r\nConnection: close\r\n\r\n".encode()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                status, _, _ = await wire.exchange(router["host"], router["ready"], request, 1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the router does not become ready")

    async def write(self, *puts):
        status, _, _ = await wire.exchange("127.0.0.1", self.store_port,
                                           store.transaction("127.0.0.1", self.store_port, puts), 2)
        if status != 200:
            raise CannotRun("the store refuses a write")
        return time.monotonic()

    async def read_entry(self, name):
        request = (f"GET /rows-get?table=servers&part=&from={name} HTTP/1.1\r\nHost: store\r\n"
                   "Connection: close\r\n\r\n").encode()
        _, _, body = await wire.exchange("127.0.0.1", self.store_port, request, 2)
        for row in json.loads(body)["rows"]:
            if row["key"] == name:
                return json.loads(base64.b64decode(row["value"]))
        return None

    async def set_store(self, mode):
        request = f"POST /test-mode?set={mode} HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n\r\n".encode()
        await wire.exchange("127.0.0.1", self.store_port, request, 2)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def arrivals(self):
        try:
            with open(self.path("arrivals.jsonl"), encoding="utf-8") as file:
                return [json.loads(line) for line in file if line.endswith("\n")]
        except FileNotFoundError:
            return []

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder):
    """Plays `case(fleet, record, trouble)`, which returns True if the rule held, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:

        def record(text):
            file.write(text + "\n")
            file.flush()

        record(f"TROUBLE={1 if trouble else 0}")
        fleet = Fleet()
        code = 2
        try:
            held = asyncio.run(asyncio.wait_for(case(fleet, record, trouble), 110))
            code = 0 if held else 1
        except (CannotRun, asyncio.TimeoutError, OSError) as failure:
            record(f"the case could not run: {failure!r}")
        finally:
            fleet.end()
        record(f"exit code {code}: " + {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    print(f"exit code {code}; see record.txt")
    sys.exit(code)
