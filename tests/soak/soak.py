#!/usr/bin/env python3
"""Fault soak of the direct router: runs real routers, endpoints and a store as processes on loopback, injects faults
from outside, and checks what callers and endpoints saw.

Sections
  1. deployment     processes, settings and addresses
  2. callers        open-loop load over open connections
  3. faults         seeded schedules of signals, links and store faults
  4. checks         promises, checked on the logs of the endpoints and the answers of the callers
  5. command line

A run is repeated by its seed and scenario. The exit code is 0 only if no promise was broken. Times are Unix seconds.
"""
import argparse
import asyncio
import base64
import bisect
import collections
import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HOST = "app.example"
SERVICES = ("app", "llm")
PORT = {"store": 20000, "callers": 20001, "ready": 20002, "control": 20003, "replica": 20004, "link": 20005,
        "link_control": 20006, "internal": 20010}
# The bounds of the promises, as the platform's settings state them.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000, "config_apply_ms": 2000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56}
HEARTBEAT_MS = 1200
IDLE_LIMIT_MS = 15000  # for connections of callers
MAX_BODY_BYTES = 4 << 20  # a caller stops reading a longer body
MEMORY_LIMIT_MB = 110  # of an entry VM of the smallest deployment; VMs of larger ones have 88 MB and more
EXPIRY_MS = 3 * HEARTBEAT_MS
FIRST_PARTS = ("f1", "f2", "f3")  # first parts of prompts, which sound and guilty requests share
ACCOUNTS = ("alpha", "beta", "gamma", "delta")
DEADLY_PART = "dead"              # decode engines crash when they begin to write on it
CRASH_EXIT_CODE = 70              # of an engine that has crashed on it
# Within this time of the store's acknowledgement, a changed key takes effect (docs/load-control.md, section 2.2).
KEY_APPLY_SECONDS = 3.0
LAST_EVENT = 12  # of a stream
# Of the requests, while a minority of the endpoints of each kind is faulty.
SERVED_SHARE = 0.5
REFUSALS = ("no_id", "earlier_id", "own_id", "both_ids")  # kinds of refusals that are written before a request runs
CONTINUATIONS = ("restarts", "skips", "no_id", "other_response", "error_text", "empty")
# From the check of a key before a send until the endpoint logs the arrival, on a busy machine.
SEND_SECONDS = 0.15


# ----------------------------------------------------------------------------------------------------------------------
# 1. deployment
# ----------------------------------------------------------------------------------------------------------------------


class Process:
    """One child process whose standard output goes to a file. Only processes started here are ever signalled."""

    def __init__(self, deployment, name, program, arguments, environment=None):
        self.name, self.program = name, program
        self.log = deployment.folder / f"{name}.log"
        with open(self.log, "ab") as log, open(deployment.folder / f"{name}.err", "ab") as errors:
            self.child = subprocess.Popen([str(deployment.bin / program), *arguments], stdout=log, stderr=errors,
                                          env={**os.environ, **(environment or {})})

    def is_running(self):
        return self.child.poll() is None

    def send(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def peak_memory_mb(self):
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0  # the process has ended
        peaks = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(peaks[0]) / 1024 if peaks else 0

    def drop_datagrams(self, port, is_dropped):
        """Drops all datagrams that arrive at a UDP port of the process, as a cut of the network does, or ends that. A
        socket filter needs no privilege for a child process."""
        rows = [line.split() for line in Path(f"/proc/{self.child.pid}/net/udp").read_text().splitlines()[1:]]
        inodes = {f"socket:[{row[9]}]" for row in rows if int(row[1].split(":")[1], 16) == port}
        system = ctypes.CDLL(None, use_errno=True)
        process = os.pidfd_open(self.child.pid)
        own = [int(path.name) for path in Path(f"/proc/{self.child.pid}/fd").iterdir() if os.readlink(path) in inodes]
        if not own:
            raise RuntimeError(f"{self.name} has no socket at UDP port {port}")
        for descriptor in own:
            copy = system.syscall(438, process, descriptor, 0)  # pidfd_getfd
            if copy < 0:
                raise OSError(ctypes.get_errno(), f"cannot reach the socket of {self.name}")
            drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))  # BPF_RET with 0 bytes
            with socket.socket(fileno=copy) as sock:
                sock.setsockopt(socket.SOL_SOCKET, 26 if is_dropped else 27,  # SO_ATTACH_FILTER, SO_DETACH_FILTER
                                struct.pack("HP", 1, ctypes.addressof(drop_all)))
        os.close(process)

    def end(self):
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()


class Deployment:
    def __init__(self, bin_folder, folder, routers, plain, prefill, decode, unannounced_share):
        self.bin, self.folder = Path(bin_folder).resolve(), Path(folder)
        self.net = f"127.{64 + os.getpid() // 250 % 100}.{os.getpid() % 250}"
        self.router_count = routers
        self.sizes = {"app": plain, "prefill": prefill, "decode": decode}
        self.unannounced_share = unannounced_share  # share of endpoints that leave by removing their entry
        self.routers, self.links, self.replicas = {}, {}, {}
        self.leaving = set()  # names of endpoints that have been told to leave
        self.version = "v1"  # software version of engines that start
        self.versions = {}   # of engines, by name
        self.deadly_share = 0.0  # share of streaming requests whose prompts have the deadly part
        self.event_interval_ms = 20
        self.budget_ms = 3000    # that callers state for all their tries of a request
        self.resume_delay = 0.0  # seconds until callers take streams up
        self.resumes_at = None   # router at which callers take streams up; None: any
        self.announce_delay_ms = 0  # from the first answer in which an endpoint states that it leaves to its entry
        self.next_replica = 0
        self.revision = 0
        self.accounts = None      # account names by key; None: the deployment has no accounts
        self.known_accounts = {}  # accounts by revision
        self.key_changes = []     # (time before the write, time of its acknowledgement, accounts)
        self.peak_memory_mb = collections.Counter()  # by router, over all its processes
        self.disturbed = collections.defaultdict(list)  # router, endpoint or "store": [(from, until)]

    def address(self, kind, index=1):
        group = {"store": 0, "callers": 1, "ready": 1, "control": 1, "internal": 1, "link": 1, "link_control": 1}
        host = {0: 250, 1: index}[group[kind]] if kind in group else 100 + index
        return f"{self.net}.{host}:{PORT[kind]}"

    def replica_address(self, name):
        return self.address("replica", int(name.split("-")[1]))

    def disturb(self, who, seconds):
        now = time.time()
        self.disturbed[who].append((now, now + seconds))

    def is_calm(self, who, begin, end):
        return not any(start <= end and until >= begin for start, until in self.disturbed[who])

    def start(self):
        self.store = Process(self, "store", "fake-platform",
                             ["--listen", self.address("store"), f"--entry_expiry_ms={EXPIRY_MS}"])
        wait_for_port(self.address("store"))
        self.write_desired_state()
        for index in range(1, self.router_count + 1):
            self.start_link(index)
            self.start_router(index)
        for stage, count in self.sizes.items():
            for _ in range(count):
                self.start_replica(stage)

    def start_link(self, index):
        self.links[index] = Process(self, f"link-{index}", "fake-link",
                                    ["--listen", self.address("link", index), "--to", self.address("store"),
                                     "--control", self.address("link_control", index)])

    def start_router(self, index):
        settings = self.folder / f"router-{index}.conf"
        seeds = [self.address("control", seed) for seed in range(1, min(3, self.router_count) + 1)]
        lines = {"node_name": f"router-{index}", "zone": "zone-a", "listen.front": self.address("callers", index),
                 "listen.ready": self.address("ready", index), "listen.control": self.address("control", index),
                 "internal_ports": f"{PORT['internal']},{PORT['internal'] + 5}", "seeds": ",".join(seeds),
                 "bootstrap": "false", "heartbeat_ms": HEARTBEAT_MS,
                 "platform.address": self.address("link", index)}
        lines.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        config = self.folder / "router.ini"
        config.write_text("[stages]\norder_stages = false\n")
        self.routers[index] = Process(self, f"router-{index}", "persimmon-router", ["--config", str(config)],
                                      {"PERSIMMONCHUTE_SETTINGS": str(settings)})

    def start_replica(self, stage):
        self.next_replica += 1
        name = f"{stage}-{self.next_replica}"
        arguments = ["--listen", self.address("replica", self.next_replica), "--store", self.address("store"),
                     "--name", name, "--service", "app" if stage == "app" else "llm",
                     f"--heartbeat_ms={HEARTBEAT_MS}"]
        if stage == "app":
            arguments.append("--work_ms=30")
        else:
            arguments += ["--stage", stage, "--tokens_per_ms=33", "--memory_tokens=36000", f"--events={LAST_EVENT}",
                          f"--event_interval_ms={self.event_interval_ms}"]
        if stage == "decode":
            arguments.append(f"--crash_on_part={DEADLY_PART}")
        if stage != "app":
            arguments.append(f"--software_version={self.version}")
            self.versions[name] = self.version
        if self.announce_delay_ms:
            arguments.append(f"--announce_delay_ms={self.announce_delay_ms}")
        if random.Random(name).random() < self.unannounced_share:
            arguments.append("--leave_unannounced")
        self.replicas[name] = Process(self, name, "fake-replica", arguments)
        return name

    def write_desired_state(self):
        self.revision += 1
        route = lambda prefix, kind, service, resumable, attempts: {
            "name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": 3000, "priority": 1,
            "target_latency_ms": 300 if service == "app" else 900, "service": service, "max_attempts": attempts,
            "resumable": resumable}
        engine = {"slots": 16, "kv_capacity_tokens": 36000, "stride": 10, "handle_ttl_s": 2, "role_switch_s": 0.5,
                  "hold_ms": 2000}
        state = {"version": self.revision,
                 "routes": [route("/pages/", "idempotent", "app", False, 2),
                            route("/submit/", "non_idempotent", "app", False, 1),
                            route("/chat/", "streaming", "llm", False, 2),
                            route("/digest/", "streaming", "llm", True, 3)],
                 "services": [{"name": "app", "health_path": "/health", "max_conns": 100},
                              {"name": "llm", "health_path": "/health", "max_conns": 200, "engine": engine}],
                 "limits": {"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 3000,
                            "idle_timeout_ms": IDLE_LIMIT_MS}}
        if self.accounts is not None:
            state["routes"].append({**route("/open/", "idempotent", "app", False, 2), "anonymous": True})
            state["tenants"] = [{"name": name, "api_keys": [key for key in self.accounts if self.accounts[key] == name]}
                                for name in sorted(set(self.accounts.values()))]
            self.known_accounts[self.revision] = dict(self.accounts)
        value = base64.b64encode(json.dumps(state).encode()).decode()
        body = {"expected": [], "remove": [],
                "puts": [{"table": "op", "part": "", "key": "config", "value": value}]}
        return post(self.address("store"), "/rows-tx", body)

    def write_accounts(self):
        """Writes the accounts until the store acknowledges them."""
        begin, accounts = time.time(), dict(self.accounts)
        while self.write_desired_state() != 200:
            time.sleep(0.1)
        self.key_changes.append((begin, time.time(), accounts))

    def living_replicas(self, stage=None):
        return [name for name, process in self.replicas.items()
                if process.is_running() and name not in self.leaving and (stage is None or name.startswith(stage))]

    def record_memory(self):
        for index, process in self.routers.items():
            self.peak_memory_mb[index] = max(self.peak_memory_mb[index], process.peak_memory_mb())

    def stop(self):
        for process in [*self.routers.values(), *self.replicas.values(), *self.links.values(), self.store]:
            process.end()


def wait_for_port(address, seconds=10):
    host, port = address.split(":")
    end = time.time() + seconds
    while time.time() < end:
        try:
            socket.create_connection((host, int(port)), 0.2).close()
            return
        except OSError:
            time.sleep(0.02)
    raise RuntimeError(f"{address} does not accept connections")


def post(address, target, body, seconds=1.0):
    """Sends a control request; returns the status, 0 if there is no answer."""
    try:
        connection = http.client.HTTPConnection(address, timeout=seconds)
        connection.request("POST", target, json.dumps(body), {"Content-Type": "application/json"})
        return connection.getresponse().status
    except OSError:
        return 0


# ----------------------------------------------------------------------------------------------------------------------
# 2. callers
# ----------------------------------------------------------------------------------------------------------------------


class Answer:
    """What the caller of one request saw. `resumed`: the answer whose stream this one takes up again."""

    def __init__(self, attempt, router, kind, begin, resumed=None):
        self.attempt, self.router, self.kind, self.begin, self.resumed = attempt, router, kind, begin, resumed
        self.status, self.headers, self.body, self.is_complete, self.end = 0, {}, b"", False, 0.0
        self.response_at = None  # when the head of the response arrived
        self.first_part, self.is_deadly = "", False
        self.key, self.stated_account = None, None  # that the request states

    def parts(self):
        """First part, document, and the request's own part, which is unlike all others."""
        number = int.from_bytes(self.attempt.encode(), "big") % (1 << 48)
        document = DEADLY_PART if self.is_deadly else f"d{number % 20:02x}"
        return f"{self.first_part}:200,{document}:600,{number:x}:1200"

    def is_whole(self):
        return self.status == 200 and self.is_complete and self.find_fault() is None

    def find_fault(self):
        """Rule that a success breaks, and how; None if it is right. A stream that is visibly broken off is right as far
        as it goes."""
        text = self.body.decode(errors="replace")
        if self.kind not in ("chat", "digest"):
            is_right = not self.is_complete or text.endswith(f"to {self.attempt}")
            return None if is_right else ("MIXED", f"is not whole: {text[-120:]!r}")
        first = self.resumed.last_event() + 1 if self.resumed else 1
        make_event = "id: {0}\ndata: piece {0} of {1}\n\n".format
        wanted = "".join(make_event(number, self.attempt) for number in range(first, LAST_EVENT + 1))
        if wanted.startswith(text):
            return ("ORDER", f"ends as if whole at {text[-60:]!r}") if self.is_complete and text != wanted else None
        known = {make_event(number, self.attempt) for number in range(1, LAST_EVENT + 1)}
        *events, rest = text.split("\n\n")
        foreign = [event for event in events if event + "\n\n" not in known]
        foreign += [rest] if not any(event.startswith(rest) for event in known) else []
        if foreign:
            return "MIXED", f"has bytes that are no event of it: {foreign[0][:120]!r}"
        return "ORDER", f"has the events {', '.join(event[4:event.index(chr(10))] for event in events)}"

    def last_event(self):
        """Id of the last whole event, 0 without one."""
        whole = self.body.decode(errors="replace").split("\n\n")[:-1]
        ids = [int(line[4:]) for event in whole for line in event.split("\n") if line.startswith("id: ")]
        return max(ids, default=0)


class Callers:
    """Sends requests at a constant rate. Connections are kept open and used until the router closes them."""

    def __init__(self, deployment, randomness, rate):
        self.deployment, self.random, self.rate = deployment, randomness, rate
        self.part_random = random.Random(randomness.random())  # so that parts leave the other draws as they are
        self.key_random = random.Random(f"keys {rate} {randomness.random()}") if deployment.accounts is not None else None
        self.idle = collections.defaultdict(list)
        self.answers = []
        self.tasks = set()

    async def run(self, seconds):
        end = time.time() + seconds
        number = 0
        while time.time() < end:
            number += 1
            router = self.random.randrange(self.deployment.router_count) + 1
            kind = self.random.choices(["pages", "submit", "chat", "digest"], [3, 3, 2, 2])[0]
            answer = Answer(f"r{router}-{number}", router, kind, time.time())
            if kind in ("chat", "digest"):
                answer.first_part = self.part_random.choice(FIRST_PARTS)
                answer.is_deadly = self.part_random.random() < self.deployment.deadly_share
            if self.key_random:
                self.choose_key(answer)
            self.answers.append(answer)
            task = asyncio.create_task(self.exchange_until_whole(answer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.expovariate(self.rate))
        await asyncio.wait(self.tasks, timeout=10) if self.tasks else None
        for _, writer, _ in (entry for pool in self.idle.values() for entry in pool):
            writer.close()

    def choose_key(self, answer):
        """Most requests have a key that is or was valid; some callers state the name of an account themselves."""
        if self.key_random.random() < 0.15:
            answer.kind = "open"
        keys = sorted(self.deployment.accounts)
        revoked = sorted({key for _, _, accounts in self.deployment.key_changes for key in accounts} - set(keys))
        choice = self.key_random.random()
        if choice < 0.8 or (choice < 0.9 and not revoked):
            answer.key = self.key_random.choice(keys)
        elif choice < 0.9:
            answer.key = self.key_random.choice(revoked)
        elif choice < 0.95:
            answer.key = f"key-never-{self.key_random.randrange(1 << 30):x}"
        if self.key_random.random() < 0.1:
            answer.stated_account = self.key_random.choice(ACCOUNTS)

    async def exchange_until_whole(self, answer):
        """A caller takes a resumable stream up once, at any router, after its last whole event."""
        await self.exchange(answer)
        last = answer.last_event()
        if answer.kind == "digest" and not answer.is_complete and 0 < last < LAST_EVENT:
            await asyncio.sleep(self.deployment.resume_delay)
            router = self.deployment.resumes_at or self.random.randrange(self.deployment.router_count) + 1
            again = Answer(f"r{router}-again-{answer.attempt}", router, "digest", time.time(), answer)
            again.first_part, again.key = answer.first_part, answer.key
            self.answers.append(again)
            await self.exchange(again)

    async def exchange(self, answer):
        try:
            await asyncio.wait_for(self.send(answer), 8)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass  # the answer stays incomplete, which the checks judge
        answer.end = time.time()

    async def send(self, answer):
        host, port = self.deployment.address("callers", answer.router).split(":")
        pool = self.idle[answer.router]
        # A caller reuses a connection that has been idle for at most four fifths of the limit of the desired state.
        pool[:] = [entry for entry in pool if time.time() - entry[2] < 0.8 * IDLE_LIMIT_MS / 1000]
        reader, writer = pool.pop()[:2] if pool else await asyncio.open_connection(host, int(port))
        method = "GET" if answer.kind in ("pages", "open") else "POST"
        body = b"" if method == "GET" else b"body of " + answer.attempt.encode()
        waited_ms = int((answer.begin - answer.resumed.begin) * 1000) if answer.resumed else 0
        head = [f"{method} /{answer.kind}/1 HTTP/1.1", f"Host: {HOST}", f"Persimmonchute-Attempt-Id: {answer.attempt}",
                f"Persimmonchute-Deadline-Ms: {max(3000, self.deployment.budget_ms - waited_ms)}",
                f"Content-Length: {len(body)}"]
        if answer.kind in ("chat", "digest"):
            head += ["Persimmonchute-Model: m", "Persimmonchute-Token-Count: 2000,120",
                     "Persimmonchute-Length-Hint: 120",
                     f"Persimmonchute-Prompt-Prefix: {answer.parts()}"]
        if answer.resumed:
            head += [f"Resumes: {answer.resumed.attempt}", f"Last-Event-Id: {answer.resumed.last_event()}"]
        if answer.key:
            head.append(f"Authorization: Bearer {answer.key}")
        if answer.stated_account:
            head.append(f"Persimmonchute-Tenant: {answer.stated_account}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        try:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            answer.status, answer.response_at = int(lines[0].split(" ")[1]), time.time()
            answer.headers = {name.lower(): value.strip()
                              for name, _, value in (line.partition(":") for line in lines[1:] if line)}
            if "content-length" in answer.headers:
                answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            else:
                await self.read_chunks(reader, answer)
            answer.is_complete = True
        finally:
            if answer.is_complete and answer.headers.get("connection", "").lower() != "close":
                pool.append((reader, writer, time.time()))
            else:
                writer.close()

    @staticmethod
    async def read_chunks(reader, answer):
        while True:
            size = int(await reader.readline(), 16)
            answer.body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return
            if len(answer.body) > MAX_BODY_BYTES:
                raise ValueError("the body does not end")


# ----------------------------------------------------------------------------------------------------------------------
# 3. faults
# ----------------------------------------------------------------------------------------------------------------------


class Faults:
    """Injects the faults of a scenario. Every choice comes from the seeded generator."""

    def __init__(self, deployment, randomness):
        self.deployment, self.random = deployment, randomness
        self.log = []
        self.restarting = set()  # routers that are being restarted

    def note(self, text):
        self.log.append((time.time(), text))

    async def leave(self, name):
        """An endpoint leaves; another one takes its place first, as in a planned replacement."""
        self.note(f"{name} leaves")
        self.deployment.start_replica(name.split("-")[0])
        self.deployment.leaving.add(name)
        self.deployment.replicas[name].send(signal.SIGTERM)

    async def kill_replica(self, name):
        self.note(f"{name} killed")
        self.deployment.disturb(name, 1)
        self.deployment.replicas[name].end()
        await asyncio.sleep(1)
        self.deployment.start_replica(name.split("-")[0])

    async def pause(self, process, who, seconds):
        self.note(f"{who} paused for {seconds:.1f} s")
        self.deployment.disturb(who, seconds)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def restart_router(self, index, number):
        self.note(f"router {index} gets {signal.Signals(number).name}")
        process = self.deployment.routers[index]
        if index in self.restarting:  # a further signal to the same process
            process.send(number)
            return
        self.restarting.add(index)
        self.deployment.disturb(index, 9)
        process.send(number)
        while process.is_running():
            await asyncio.sleep(0.05)
        self.deployment.start_router(index)
        self.restarting.discard(index)

    async def silence_link(self, index):
        """The open connections of a router to the store go silent for good; new ones work."""
        self.note(f"store connections of router {index} go silent")
        self.deployment.disturb(index, 0)
        post(self.deployment.address("link_control", index), "/faults", {"silent": True})

    async def cut_link(self, index):
        self.note(f"store connections of router {index} reset")
        self.deployment.disturb(index, 0)
        post(self.deployment.address("link_control", index), "/faults", {"cut": True})

    async def refuse_feeds_once(self):
        """The store refuses calls to its feed for a moment, as over its rate limit; it loses nothing."""
        self.note("the store refuses feed calls")
        store = self.deployment.address("store")
        post(store, "/faults", {"refused_path": "/rows-feed"})
        await asyncio.sleep(2.6)  # every long poll ends once
        post(store, "/faults", {"refused_path": ""})

    async def store_outage(self, seconds):
        self.note(f"store away for {seconds:.1f} s")
        self.deployment.disturb("store", seconds)
        store = self.deployment.address("store")
        fault = self.random.choice(["outage", "silent"])
        post(store, "/faults", {fault: True})
        await asyncio.sleep(seconds)
        post(store, "/faults", {fault: False})

    async def restore_store(self, age):
        """The store comes back from a copy that is `age` seconds old; the operator writes again what is lost."""
        self.note(f"the store comes back from a copy {age:.1f} s old")
        store = self.deployment.address("store")
        post(store, "/faults", {"save_copy": True})
        await asyncio.sleep(age)
        away = self.random.uniform(0.2, 1.5)
        self.deployment.disturb("store", away)
        post(store, "/faults", {"outage": True})
        await asyncio.sleep(away)
        post(store, "/faults", {"restore": True, "outage": False})
        await asyncio.sleep(self.random.uniform(0, 1))
        await asyncio.to_thread(self.deployment.write_desired_state)

    async def reject_work(self, names, seconds):
        """Engines that grant reservations reject prompts or requests."""
        self.note(f"{', '.join(names)} reject work for {seconds:.1f} s")
        await self.set_faults(names, seconds, {"rejects_work": True}, {"rejects_work": False})

    async def break_streams(self, names, seconds):
        """Streams break off inside an event; their bodies end in order, with or without chunks."""
        unframed = self.random.random() < 0.7
        self.note(f"{', '.join(names)} break streams off for {seconds:.1f} s, {'unframed' if unframed else 'chunked'}")
        await self.set_faults(names, seconds, {"unframed": unframed, "breaks_in_order": True,
                                               "break_after_events": self.random.randint(1, 11)},
                              {"unframed": False, "breaks_in_order": False, "break_after_events": 0})

    async def send_without_end(self, names, seconds):
        """Endpoints send bodies or events without end, some of them without a seal."""
        if names[0].startswith("decode"):
            faults = {"endless_event": True}
        else:
            faults = {"endless_body": True, **{name: True for name in ("omits_seal", "unframed")
                                               if self.random.random() < 0.5}}
        self.note(f"{', '.join(names)} send without end for {seconds:.1f} s: {', '.join(faults)}")
        await self.set_faults(names, seconds, faults, dict.fromkeys(faults, False))

    async def set_faults(self, names, seconds, faults, cleared):
        for name in names:
            await asyncio.to_thread(post, self.deployment.replica_address(name), "/faults", faults)
        await asyncio.sleep(seconds)
        for name in names:
            if self.deployment.replicas[name].is_running():
                await asyncio.to_thread(post, self.deployment.replica_address(name), "/faults", cleared)

    async def close_endpoints(self, names, seconds):
        """Endpoints turn requests away and state when they want some again."""
        self.note(f"{', '.join(names)} closed for {seconds:.1f} s")
        end = time.time() + seconds
        addresses = [self.deployment.replica_address(name) for name in names]
        while time.time() < end:
            for address in addresses:
                post(address, "/faults", {"rejects_work": True, "retry_after_ms": int((end - time.time()) * 1000) + 1})
            await asyncio.sleep(0.1)
        for address in addresses:
            post(address, "/faults", {"rejects_work": False, "retry_after_ms": 0})

    def pick(self, stage=None):
        # All engines of a stage may have crashed for a moment.
        return self.random.choice(self.deployment.living_replicas(stage) or self.deployment.living_replicas())

    def pick_router(self):
        return self.random.choice(list(self.deployment.routers))

    async def mixed(self, seconds):
        """Faults of all kinds in series, which overlap."""
        end = time.time() + seconds
        running = set()
        actions = [
            lambda: self.leave(self.pick()), lambda: self.leave(self.pick("app")), lambda: self.kill_replica(self.pick()),
            lambda: (lambda name: self.pause(self.deployment.replicas[name], name, self.random.uniform(0.3, 2)))(
                self.pick()),
            lambda: self.restart_router(self.pick_router(), signal.SIGTERM),
            lambda: self.restart_router(self.pick_router(), signal.SIGKILL),
            lambda: (lambda index: self.pause(self.deployment.routers[index], index, self.random.uniform(0.3, 3)))(
                self.pick_router()),
            lambda: self.silence_link(self.pick_router()), lambda: self.cut_link(self.pick_router()),
            lambda: self.refuse_feeds_once(), lambda: self.store_outage(self.random.uniform(0.5, 5)),
            lambda: self.reject_work(self.deployment.living_replicas(self.random.choice(["prefill", "decode"])),
                                     self.random.uniform(0.5, 3)),
            lambda: self.restore_store(self.random.uniform(1, 5)),
            lambda: self.close_endpoints([self.pick()], self.random.uniform(1, 4)),
            lambda: self.limit_endpoint(self.pick(), self.random.uniform(4, 9)),
            lambda: self.break_streams([self.pick("decode")], self.random.uniform(0.5, 3)),
            lambda: self.send_without_end([self.pick()], self.random.uniform(0.2, 1)),
            lambda: self.send_deadly_parts(self.random.uniform(2, 6), self.random.uniform(0.05, 0.3)),
            lambda: asyncio.to_thread(self.deployment.write_desired_state)]
        while time.time() < end:
            task = asyncio.create_task(self.random.choice(actions)())
            running.add(task)
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
        await asyncio.gather(*running)

    async def rejected_decodes(self, seconds):
        """All decode engines grant reservations and reject the requests, as while they carry out orders."""
        await asyncio.sleep(10.5)  # the budget is full
        await self.reject_work(self.deployment.living_replicas("decode"), seconds - 10.5)

    async def rejected_prefills(self, seconds):
        """All prefill engines reject every prompt."""
        await asyncio.sleep(10.5)
        await self.reject_work(self.deployment.living_replicas("prefill"), seconds - 10.5)

    async def restarts_while_rejecting(self, seconds):
        """Engines reject requests while every router is killed and started again, twice within one window."""
        await asyncio.sleep(10.5)
        rejecting = asyncio.create_task(
            self.reject_work(self.deployment.living_replicas("decode"), seconds - 10.5))
        for _ in range(2):
            await asyncio.sleep(2)
            await asyncio.gather(*(self.restart_router(index, signal.SIGKILL) for index in self.deployment.routers))
        await rejecting

    async def unannounced_leaves(self, seconds):
        """Endpoints leave in series by removing their entry while the store refuses some feed calls."""
        end = time.time() + seconds - 6
        while time.time() < end:
            await self.refuse_feeds_once()
            await asyncio.sleep(self.random.uniform(2.5, 2.9))  # while the first long polls afterwards end
            await self.leave(self.pick("app"))
            await asyncio.sleep(3)
        await asyncio.sleep(5)

    async def leaves_by_own_word(self, seconds):
        """Endpoints say in their answers that they leave long before their entries do."""
        end = time.time() + seconds - 6
        while time.time() < end:
            await self.leave(self.pick(self.random.choice(["app", "decode", "prefill"])))
            await asyncio.sleep(self.random.uniform(1, 3))
        await asyncio.sleep(5)

    async def closed_endpoints(self, seconds):
        """Some or all endpoints of a kind turn requests away for seconds, in series."""
        end = time.time() + seconds
        while time.time() < end:
            names = self.deployment.living_replicas(self.random.choice(["app", "decode", "prefill"]))
            await self.close_endpoints(self.random.sample(names, self.random.randint(1, len(names))),
                                       self.random.uniform(1, 4))
            await asyncio.sleep(self.random.uniform(0.2, 1))

    async def restored_store(self, seconds):
        """Endpoints come and go while the store comes back from older copies."""
        end = time.time() + seconds - 8
        while time.time() < end:
            restored = asyncio.create_task(self.restore_store(self.random.uniform(1, 5)))
            for _ in range(3):
                await asyncio.sleep(self.random.uniform(0.3, 1.5))
                await self.leave(self.pick())
            await restored
            await asyncio.sleep(self.random.uniform(1, 4))
        await asyncio.sleep(6)

    async def version_roll(self, seconds):
        """Engines of several software versions serve side by side, while engines break streams off and routers are
        killed and restarted."""
        end = time.time() + seconds
        number = 1
        while time.time() < end:
            number += 1
            self.deployment.version = f"v{number}"
            for name in self.random.sample(self.deployment.living_replicas("decode"), 3):
                await self.leave(name)
                await asyncio.sleep(self.random.uniform(0.1, 0.5))
            for _ in range(4):
                breaking = asyncio.create_task(self.break_streams([self.pick("decode")], 1))
                number_of_signal = self.random.choice([signal.SIGKILL, signal.SIGKILL, signal.SIGTERM])
                routers = self.random.sample(list(self.deployment.routers), self.random.choice([1, 1, 2]))
                await asyncio.gather(*(self.restart_router(index, number_of_signal) for index in routers))
                await breaking
                await asyncio.sleep(self.random.uniform(0.5, 2))

    async def join_version(self, count):
        """Engines of a further software version join; the others stay."""
        self.deployment.version = f"v{int(self.deployment.version[1:]) + 1}"
        self.note(f"{count} engines of {self.deployment.version} join")
        for _ in range(count):
            self.deployment.start_replica("decode")
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def kill_routers(self, indexes, down=0):
        """Routers lose power at the same moment and start again after `down` seconds."""
        self.note(f"routers {', '.join(map(str, indexes))} killed")
        for index in indexes:
            self.deployment.disturb(index, 1.5 + down)
            self.deployment.routers[index].send(signal.SIGKILL)
        await asyncio.sleep(down)
        for index in indexes:
            await asyncio.to_thread(self.deployment.routers[index].child.wait)
            self.deployment.start_router(index)

    async def versions_all_killed(self, seconds):
        """All routers are killed at once while two versions serve, and streams are taken up when they are in touch."""
        end = time.time() + seconds
        await self.join_version(len(self.deployment.living_replicas("decode")))
        while time.time() < end - self.deployment.resume_delay - 3:
            await asyncio.sleep(self.random.uniform(2, 2.5))  # origins are in the store after 0.2 s
            await self.kill_routers(list(self.deployment.routers))
            await asyncio.sleep(self.deployment.resume_delay)
        await asyncio.sleep(max(0, end - time.time()))

    async def versions_unheard(self, seconds):
        """One router hears neither the store nor its peers while versions join. Streams of the others are cut and taken
        up there."""
        end = time.time() + seconds
        index = self.deployment.resumes_at = self.pick_router()
        others = [other for other in self.deployment.routers if other != index]
        link = self.deployment.address("link_control", index)
        while time.time() < end - 7:
            begin = time.time()
            self.note(f"router {index} hears nobody")
            older = self.deployment.living_replicas("decode")
            self.deployment.routers[index].drop_datagrams(PORT["internal"], True)
            await asyncio.to_thread(post, link, "/faults", {"refuse": True, "cut": True})
            await asyncio.sleep(self.random.uniform(0.1, 2))
            await self.join_version(4)
            for _ in range(3):
                await asyncio.sleep(self.random.uniform(1.2, 1.6))
                await self.kill_routers(self.random.sample(others, 2))
            await asyncio.sleep(0.5)
            self.note(f"router {index} hears all")
            self.deployment.routers[index].drop_datagrams(PORT["internal"], False)
            await asyncio.to_thread(post, link, "/faults", {"refuse": False})
            self.deployment.disturbed[index].append((begin, time.time() + 1))
            await asyncio.sleep(1.5)
            for name in self.random.sample(older, 4):
                self.note(f"{name} leaves")
                self.deployment.leaving.add(name)
                self.deployment.replicas[name].send(signal.SIGTERM)

    async def versions_router_lost(self, seconds):
        """With one version, the store comes back from an older copy, and routers are killed once all are in touch again.
        Then engines of the next version join while routers are frozen, which are killed before they go on. Callers take
        their streams up at a router that nothing has disturbed."""
        end = time.time() + seconds
        self.deployment.resumes_at = self.pick_router()
        others = [index for index in self.deployment.routers if index != self.deployment.resumes_at]
        await asyncio.sleep(self.random.uniform(1, 2))
        await self.restore_store(self.random.uniform(1, 3))
        await asyncio.sleep(self.random.uniform(4, 6))
        for _ in range(2):
            await self.kill_routers(self.random.sample(others, self.random.choice([1, 2])),
                                    self.random.uniform(1, 2))
            await asyncio.sleep(self.random.uniform(1, 2))
        frozen = self.random.sample(others, 2)
        self.note(f"routers {', '.join(map(str, frozen))} frozen")
        for index in frozen:
            self.deployment.disturb(index, 4)
            self.deployment.routers[index].send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 1))
        await self.join_version(2)
        await asyncio.sleep(self.random.uniform(1, 2))
        await self.kill_routers(frozen)
        await asyncio.sleep(max(3, end - time.time()))

    def make_reply_faults(self, stage):
        """All ways in which an endpoint of the stage answers wrongly, in random order."""
        early = [{"early_refusal": kind, "early_status": status} for kind in REFUSALS for status in (503, 429, 421)]
        early.append({"early_refusal": "repeated", "early_status": 503})
        faults = list(early)
        if stage != "prefill":
            faults += [{"unproven_status": status} for status in (421, 429, 503, 408)]
            faults += [{"cut_head_after_bytes": self.random.randint(1, 150)} for _ in range(3)]
            faults.append({"doubled_id": True})
        self.random.shuffle(faults)
        return faults

    async def reply_wrongly(self, stage, is_breaking, end, faulty):
        """One endpoint of the stage after the other is faulty, each in one way. Decode engines break streams off too."""
        faults = []
        while time.time() < end:
            if not faults and is_breaking:
                faults = [{"continuation": kind} for kind in self.random.sample(CONTINUATIONS, len(CONTINUATIONS))]
            faults = faults or self.make_reply_faults(stage)
            name = self.random.choice([name for name in self.deployment.living_replicas(stage) if name not in faulty])
            fault = faults.pop()
            self.note(f"{name}: {', '.join(f'{key} {value}' for key, value in fault.items())}")
            if stage == "decode":
                fault = {**fault, "breaks_in_order": self.random.random() < 0.5, "unframed": self.random.random() < 0.5,
                         "break_after_events": self.random.randint(1, LAST_EVENT - 1)}
            cleared = {key: type(value)() for key, value in fault.items()}
            faulty.add(name)
            await self.set_faults([name], self.random.uniform(0.4, 1.2), fault, cleared)
            faulty.discard(name)

    async def faulty_replies(self, seconds):
        """A minority of the endpoints of each kind writes replies that prove nothing or continue no stream, in ways
        that change all the time."""
        end, faulty = time.time() + seconds, set()
        slots = [("app", False)] * 2 + [("prefill", False)] + [("decode", False), ("decode", True)] * 2
        await asyncio.gather(*(self.reply_wrongly(stage, breaking, end, faulty) for stage, breaking in slots))

    async def send_deadly_parts(self, seconds, share):
        self.note(f"{share:.0%} of the streaming requests have a deadly part for {seconds:.1f} s")
        self.deployment.deadly_share = share
        await asyncio.sleep(seconds)
        self.deployment.deadly_share = 0.0

    async def replace_crashed(self):
        """Engines that have crashed are back after some seconds, under other names."""
        replaced = set()
        while True:
            for name, process in list(self.deployment.replicas.items()):
                if process.child.poll() == CRASH_EXIT_CODE and name not in replaced:
                    replaced.add(name)
                    self.note(f"{name} has crashed")
                    self.deployment.disturb(name, 1e9)
                    asyncio.get_running_loop().call_later(1.5, self.deployment.start_replica, name.split("-")[0])
            await asyncio.sleep(0.1)

    async def deadly_parts(self, seconds):
        """A part of prompts crashes engines, while routers are restarted and engines break off other streams."""
        end = time.time() + seconds
        await asyncio.sleep(3)
        deadly = asyncio.create_task(self.send_deadly_parts(seconds - 3, self.random.uniform(0.1, 0.3)))
        while time.time() < end - 3:
            await asyncio.sleep(self.random.uniform(2, 4))
            action = self.random.choice([
                lambda: self.restart_router(self.pick_router(), self.random.choice([signal.SIGKILL, signal.SIGTERM])),
                lambda: self.break_streams([self.pick("decode")], self.random.uniform(0.3, 1)),
                lambda: self.leave(self.pick("decode"))])
            await action()
        await deadly

    async def broken_streams(self, seconds):
        """Streams of some or all decode engines break off inside an event, in series."""
        end = time.time() + seconds
        while time.time() < end:
            names = self.deployment.living_replicas("decode")
            await self.break_streams(self.random.sample(names, self.random.randint(1, len(names))),
                                     self.random.uniform(0.5, 2))
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def endless_bytes(self, seconds):
        """Endpoints of all kinds send bytes without end, one after the other."""
        end = time.time() + seconds - 4
        while time.time() < end:
            await self.send_without_end([self.pick(self.random.choice(["app", "prefill", "decode"]))],
                                        self.random.uniform(0.2, 1))
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
        await asyncio.sleep(4)

    async def limit_endpoint(self, name, seconds):
        """An endpoint states a limit, which changes, and ends."""
        address = self.deployment.replica_address(name)
        end = time.time() + seconds
        while time.time() < end:
            limit = self.random.choice([0, 1.5, 4, 7.2])
            self.note(f"{name} states a limit of {limit} a second")
            await asyncio.to_thread(post, address, "/faults", {"request_limit": str(limit)})
            await asyncio.sleep(max(0, min(self.random.uniform(7, 10), end - time.time())))
        if self.deployment.replicas[name].is_running():
            await asyncio.to_thread(post, address, "/faults", {"request_limit": ""})

    async def limit_endpoints(self, names, seconds):
        await asyncio.gather(*(self.limit_endpoint(name, seconds) for name in names))

    async def limited_endpoints(self, seconds):
        """Endpoints of all kinds state limits while routers are killed, stopped and paused."""
        end = time.time() + seconds
        names = [self.pick("app"), self.pick("decode"), self.pick("prefill")]
        limited = [asyncio.create_task(self.limit_endpoint(name, seconds - 1)) for name in names]
        while time.time() < end - 3:
            await asyncio.sleep(self.random.uniform(0.5, 2))
            index = self.pick_router()
            await self.random.choice([
                lambda: self.restart_router(index, signal.SIGKILL), lambda: self.restart_router(index, signal.SIGTERM),
                lambda: self.pause(self.deployment.routers[index], index, self.random.uniform(0.3, 4))])()
        await asyncio.gather(*limited)

    async def silent_store(self, seconds):
        """Endpoints leave in series while the store connections of routers go silent, one after the other."""
        end = time.time() + seconds - 6
        while time.time() < end:
            await self.silence_link(self.pick_router())
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
            await self.leave(self.pick("app"))
            await asyncio.sleep(5)
        await asyncio.sleep(5)


    async def change_keys(self):
        """The operator revokes a key, adds one, or gives a key to another account."""
        accounts, number = self.deployment.accounts, len(self.deployment.key_changes)
        changed = self.random.choice(sorted(accounts))
        if len(accounts) > 4 and self.random.random() < 0.6:
            self.note(f"{changed} revoked")
            del accounts[changed]
        elif self.random.random() < 0.3:
            accounts[changed] = self.random.choice(ACCOUNTS)
            self.note(f"{changed} given to {accounts[changed]}")
        else:
            accounts[f"key-{number}"] = self.random.choice(ACCOUNTS)
            self.note(f"key-{number} added to {accounts[f'key-{number}']}")
        await asyncio.to_thread(self.deployment.write_accounts)

    async def refuse_link(self, index, seconds):
        """A router cannot reach the store, but others that can. No disturbance: it must learn changes from them."""
        self.note(f"router {index} cannot reach the store for {seconds:.1f} s")
        control = self.deployment.address("link_control", index)
        await asyncio.to_thread(post, control, "/faults", {"refuse": True, "cut": True})
        await asyncio.sleep(seconds)
        await asyncio.to_thread(post, control, "/faults", {"refuse": False})

    async def occupy(self, stage, seconds):
        """All endpoints of a kind are full, so that requests wait or are tried again while keys change."""
        names = self.deployment.living_replicas(stage)
        fault = "never_responds" if stage == "app" else "full"
        names = names[:1] if stage == "app" else names
        self.note(f"{', '.join(names)}: {fault} for {seconds:.1f} s")
        await self.set_faults(names, seconds, {fault: True}, {fault: False})

    async def accounts(self, seconds):
        """Keys are added, revoked and moved while requests wait, endpoints fail and routers are restarted, paused and
        cut off from the store."""
        end = time.time() + seconds - 3
        actions = [
            lambda: self.occupy("decode", self.random.uniform(0.5, 2)), lambda: self.occupy("app", 1.5),
            lambda: self.occupy("decode", self.random.uniform(0.5, 2)),
            lambda: self.break_streams([self.pick("decode")], self.random.uniform(0.5, 2)),
            lambda: self.limit_endpoints(self.deployment.living_replicas("app"), 3),
            lambda: self.restart_router(self.pick_router(), self.random.choice([signal.SIGKILL, signal.SIGTERM])),
            lambda: (lambda index: self.pause(self.deployment.routers[index], index, self.random.uniform(0.3, 3)))(
                self.pick_router()),
            lambda: self.refuse_link(self.pick_router(), self.random.uniform(1, 5)),
            lambda: self.silence_link(self.pick_router()), lambda: self.store_outage(self.random.uniform(0.5, 3))]
        running = set()
        next_fault = time.time()
        while time.time() < end:
            await self.change_keys()
            if time.time() >= next_fault:
                running.add(asyncio.create_task(self.random.choice(actions)()))
                next_fault = time.time() + self.random.uniform(0.5, 2)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
        await asyncio.gather(*running)
        await asyncio.sleep(3)


SCENARIOS = ["mixed", "rejected_decodes", "rejected_prefills", "restarts_while_rejecting", "unannounced_leaves",
             "silent_store", "leaves_by_own_word",
             "closed_endpoints", "restored_store", "broken_streams", "endless_bytes",
             "version_roll", "versions_all_killed", "versions_unheard", "versions_router_lost", "faulty_replies", "deadly_parts",
             "limited_endpoints", "accounts"]


# ----------------------------------------------------------------------------------------------------------------------
# 4. checks
# ----------------------------------------------------------------------------------------------------------------------


def read_events(path):
    events = []
    for line in path.read_text(errors="replace").splitlines():
        try:
            events.append(json.loads(line))
        except ValueError:
            pass  # a line cut by a signal
    return events


class Checks:
    def __init__(self, deployment, answers):
        self.deployment, self.answers = deployment, answers
        self.by_attempt = {answer.attempt: answer for answer in answers}
        self.broken = []
        self.arrivals = []  # (time, attempt, endpoint, service, result)
        self.closures = []  # (time, router, endpoint, seconds)
        self.received = collections.defaultdict(list)  # endpoint: times of all requests, also of control calls
        self.limits = collections.defaultdict(list)    # endpoint: (time, stated requests per second)
        self.left = {}      # endpoint: time at which the store accepted that it leaves
        self.accounts = []  # (time, attempt, endpoint, account), of the arrivals
        self.key_leaks = []  # (time, attempt, endpoint)
        # Refusals with the attempt's own id, written before its run on a connection that had not carried the id. Nobody
        # can tell one from a true refusal, so for each of them one run counts as refused.
        self.deceptions = collections.Counter()
        self.revisions = collections.defaultdict(list)  # router: (time, revision) applied
        self.account_checks = collections.Counter()
        self.wrong_replies = collections.defaultdict(list)  # attempt: kinds
        if deployment.accounts is not None:
            self.read_revisions()
        for name in deployment.replicas:
            for event in read_events(deployment.folder / f"{name}.log"):
                seconds = event["t"] / 1000
                if event["event"] == "arrival":
                    self.received[name].append(seconds)
                if event["event"] == "arrival" and event["has_key"]:
                    self.key_leaks.append((seconds, event["request"], name))
                if event["event"] == "arrival" and event["result"] != "control":
                    self.accounts.append((seconds, event["request"], name, event["account"]))
                if event["event"] == "wrong_reply":
                    self.wrong_replies[event["request"]].append(event["kind"])
                    if event["kind"] == "own_id" and not event["has_carried"] and not name.startswith("prefill"):
                        self.deceptions[event["request"]] += 1
                if event["event"] == "limit_set":
                    self.limits[name].append((seconds, float(event["limit"] or "inf")))
                if event["event"] == "arrival" and event["result"] != "control":
                    self.arrivals.append((seconds, event["request"], name, event["service"], event["result"]))
                    if event["retry_after_ms"]:
                        self.closures.append((seconds, self.router_of(event["request"]), name,
                                              event["retry_after_ms"] / 1000))
                elif event["event"] == "leaving_acknowledged":
                    self.left[name] = seconds
        self.arrivals.sort()
        self.runs = collections.Counter(attempt for _, attempt, _, _, result in self.arrivals if result == "run")

    def report(self, rule, text):
        self.broken.append((rule, text))

    def router_of(self, attempt):
        return int(attempt[1:].split("-")[0])

    def is_in_touch(self, router, at):
        contact = BOUNDS["contact_ms"] / 1000
        return (self.deployment.is_calm(router, at - contact, at) and
                self.deployment.is_calm("store", at - contact, at))

    def check_leaving(self):
        """No request reaches an endpoint later than drain_ms after the store has accepted that it leaves."""
        for at, attempt, endpoint, _, result in self.arrivals:
            left = self.left.get(endpoint)
            router = self.router_of(attempt)
            contact = BOUNDS["contact_ms"] / 1000
            if (left and at > left + BOUNDS["drain_ms"] / 1000 and self.is_in_touch(router, at) and
                    self.deployment.is_calm("store", left - contact, left) and
                    self.deployment.is_calm(endpoint, left, at)):
                self.report("DRAIN", f"{attempt} ({result}) reached {endpoint} {(at - left) * 1000:.0f} ms after its "
                                     f"leaving was acknowledged")

    def check_own_word(self):
        """No request reaches an endpoint from a router later than drain_ms after that router has passed on an answer in
        which the endpoint states that it is leaving."""
        told = {}  # (router, endpoint): first time
        for answer in self.answers:
            seal = answer.headers.get("persimmonchute-server-seal", "")
            if answer.headers.get("server-leaving") == "1" and seal:
                key = (answer.router, seal.split(".")[1])
                told[key] = min(told.get(key, answer.end), answer.end)
        for at, attempt, endpoint, _, result in self.arrivals:
            router = self.router_of(attempt)
            first = told.get((router, endpoint))
            if (first and self.by_attempt[attempt].begin > first + BOUNDS["drain_ms"] / 1000 and
                    self.deployment.is_calm(router, first, at)):
                self.report("DRAIN", f"{attempt} ({result}) reached {endpoint} {(at - first) * 1000:.0f} ms after "
                                     f"router {router} had passed on its word that it leaves")

    def check_closed(self):
        """At most two requests reach an endpoint from a router between half a second after it has turned that router away
        and the time that it has stated."""
        by_pair = collections.defaultdict(list)
        for at, attempt, endpoint, _, _ in self.arrivals:
            by_pair[self.router_of(attempt), endpoint].append(at)
        for at, router, endpoint, seconds in self.closures:
            late = [arrival for arrival in by_pair[router, endpoint] if at + 0.5 < arrival < at + seconds]
            if len(late) > 2 and self.deployment.is_calm(router, at, late[-1]):
                self.report("BUDGET", f"{len(late)} requests of router {router} reached {endpoint}, which had turned it "
                                      f"away for {seconds:.1f} s")

    def check_limits(self):
        """In any 4 s, an endpoint gets no more than one and a half times the limit that it states and 5 requests, from
        all routers together, whatever happens to them."""
        contact, window = BOUNDS["contact_ms"] / 1000, 4
        used, allowed = 0, 0
        for name, changes in self.limits.items():
            times = sorted(self.received[name])
            for (begin, limit), (end, _) in zip(changes, changes[1:] + [(times[-1] if times else 0, 0)]):
                stated = [at for at in times if begin + contact <= at < end]
                if limit == float("inf") or end - begin <= contact:
                    continue
                used, allowed = used + len(stated), allowed + limit * (end - begin - contact)
                most = max((bisect.bisect_left(stated, at + window) - index for index, at in enumerate(stated)),
                           default=0)
                if most > 1.5 * limit * window + 5:
                    self.report("LIMIT", f"{name} stated {limit} a second and got {most} requests in {window} s")
        self.limit_share = used / allowed if allowed else None

    def check_budget(self):
        """In every window, a service gets no more sends beyond the first of each request than the budget allows."""
        window = BOUNDS["budget_window_s"]
        for service in SERVICES:
            requests = sorted(answer.begin for answer in self.answers
                              if (answer.kind in ("chat", "digest")) == (service == "llm"))
            extra, has_run, has_prefill = [], set(), set()
            for at, attempt, _, arrived_service, result in self.arrivals:
                if arrived_service != service:
                    continue
                # The first prefill that an engine accepts is no extra send; a rejected one always is.
                seen = has_prefill if result == "prefill" else has_run
                if result == "rejected_prefill" or attempt in seen:
                    extra.append(at)
                else:
                    seen.add(attempt)
            worst = (0, 0, 0)
            for index, end in enumerate(extra):
                count = sum(1 for at in extra[:index + 1] if at > end - window)
                most = max(sum(1 for at in requests if end - back - window < at <= end - back)
                           for back in (0, window / 2, window))
                allowed = BOUNDS["retry_budget_ratio"] * most + BOUNDS["retry_budget_slack"]
                worst = max(worst, (count - allowed, count, allowed))
            if worst[0] > 0:
                self.report("BUDGET", f"{service}: {worst[1]} arrivals beyond the first within {window} s, "
                                      f"{worst[2]:.0f} are allowed")

    def check_answers(self):
        """Answers are whole, a refusal is true, and what may not be repeated runs at most once."""
        for answer in self.answers:
            runs = self.runs[answer.attempt]
            unproven_runs = runs - self.deceptions[answer.attempt]
            told = "".join(f", {kind}" for kind in self.wrong_replies.get(answer.attempt, []))
            if answer.kind in ("submit", "chat") and unproven_runs > 1:
                self.report("TWICE", f"{answer.attempt} ({answer.kind}) ran {runs} times{told}")
            if answer.status in (408, 421, 429, 503) and unproven_runs > 0:
                self.report("REFUSED", f"{answer.attempt} ({answer.kind}) got {answer.status} and ran {runs} "
                                       f"times{told}")
            fault = answer.find_fault() if answer.status == 200 else None
            if fault:
                self.report(fault[0], f"{answer.attempt} ({answer.kind}) got a success that {fault[1]}{told}")
            if answer.status == 200 and "persimmonchute-server-seal" not in answer.headers:
                self.report("MIXED", f"{answer.attempt} got a success without a seal")
            if answer.status == 0 and self.is_in_touch(answer.router, answer.end):
                self.report("LOST", f"{answer.attempt} ({answer.kind}) got no answer from router {answer.router}")

    def check_served(self):
        """Sound endpoints are a majority of each kind, so at least half of the requests are served."""
        first = [answer for answer in self.answers if not answer.resumed]
        share = sum(answer.is_whole() for answer in first) / max(1, len(first))
        if self.wrong_replies and share < SERVED_SHARE:
            self.report("LOST", f"{share:.0%} of {len(first)} requests were served, {SERVED_SHARE:.0%} must be")

    def check_versions(self):
        """No stream holds events of engines of two software versions, in one answer or over a caller's tries."""
        sources = collections.defaultdict(list)  # engines that have run an attempt
        for _, attempt, endpoint, _, result in self.arrivals:
            if result == "run" and endpoint in self.deployment.versions:
                sources[attempt].append(endpoint)
        for answer in self.answers:
            if answer.kind != "digest" or answer.last_event() == 0:
                continue
            engines = sources[answer.attempt] + (sources[answer.resumed.attempt] if answer.resumed else [])
            versions = {self.deployment.versions[name] for name in engines}
            if len(versions) > 1:
                self.report("ORDER", f"{answer.attempt} went on at another version: {', '.join(engines)} are "
                                     f"{', '.join(sorted(versions))}")

    def check_resumed(self):
        """Of streams that callers take up again, at least half as many go on as of new ones begin."""
        resumed = [answer for answer in self.answers if answer.resumed and self.may_go_on(answer)]
        fresh = [answer for answer in self.answers if answer.kind == "digest" and not answer.resumed]
        if len(resumed) < 12:
            return
        share = sum(answer.status == 200 for answer in resumed) / len(resumed)
        fresh_share = sum(answer.status == 200 for answer in fresh) / len(fresh)
        if share < fresh_share / 2:
            self.report("LOST", f"{share:.0%} of {len(resumed)} resumed streams went on, {fresh_share:.0%} of new ones")

    def may_go_on(self, answer):
        """The router is in touch, and two engines of the stream's version serve until the end."""
        runs = [name for _, attempt, name, _, result in self.arrivals
                if attempt == answer.resumed.attempt and result == "run" and name in self.deployment.versions]
        if not runs or not self.is_in_touch(answer.router, answer.begin):
            return False
        version = self.deployment.versions[runs[0]]
        serving = [name for name, known in self.deployment.versions.items()
                   if known == version and name.startswith("decode") and name not in self.left]
        return len(serving) >= 2

    def check_parts(self):
        """After the fifth crash under a part, at most three requests with it reach engines, and sound requests with the
        same first parts begin at least half as often as before."""
        crashes = sorted(at for at, attempt, endpoint, _, result in self.arrivals if result == "run" and
                         self.by_attempt[attempt].is_deadly and endpoint.startswith("decode"))
        if not crashes:
            return
        contact = BOUNDS["contact_ms"] / 1000
        if len(crashes) >= 5:
            late = [attempt for at, attempt, _, _, _ in self.arrivals if self.by_attempt[attempt].is_deadly and
                    at > crashes[4] + contact and self.is_in_touch(self.router_of(attempt), at)]
            if len(late) > 3:
                self.report("BUDGET", f"{len(late)} requests with a deadly part reached engines later than contact_ms "
                                      f"after the fifth of {len(crashes)} crashes: {', '.join(late[:5])}")
        judged = crashes[min(len(crashes), 5) - 1] + 2 * contact
        sound = [answer for answer in self.answers if answer.first_part and not answer.is_deadly and not answer.resumed
                 and self.is_in_touch(answer.router, answer.begin)]
        last = max(answer.begin for answer in self.answers if answer.is_deadly)
        before = [answer for answer in sound if answer.end < crashes[0]]
        for first_part in {answer.first_part for answer in self.answers if answer.is_deadly}:
            after = [answer for answer in sound if judged < answer.begin < last and answer.first_part == first_part]
            if len(before) < 20 or len(after) < 20:
                continue
            share, share_before = (sum(answer.last_event() > 0 for answer in group) / len(group)
                                   for group in (after, before))
            if share < share_before / 2:
                self.report("LOST", f"{share:.0%} of {len(after)} sound requests with {first_part} began after the "
                                    f"verdict, {share_before:.0%} before")

    def read_revisions(self):
        for index in self.deployment.routers:
            for event in read_events(self.deployment.folder / f"router-{index}.log"):
                if event["event"] == "revision_in_force":
                    self.revisions[index].append((event["t"] / 1000, event["revision"]))

    def holders(self, key, begin, end):
        """Accounts that may have held the key at some time from begin to end, None for no account. A router may apply a
        change as soon as it is written and must have applied it KEY_APPLY_SECONDS after it was acknowledged."""
        changes = self.deployment.key_changes
        known = set()
        for index, (written, _, accounts) in enumerate(changes):
            replaced = changes[index + 1][1] + KEY_APPLY_SECONDS if index + 1 < len(changes) else float("inf")
            if written <= end and replaced >= begin:
                known.add(accounts.get(key))
        return known

    def check_accounts(self):
        """No endpoint receives a key, or a request whose key has been revoked or is held by another account."""
        for at, attempt, endpoint in self.key_leaks:
            self.report("KEY", f"{endpoint} received a key with {attempt or 'a control call'}")
        if self.deployment.accounts is None:
            return
        for at, attempt, endpoint, account in self.accounts:
            answer, router = self.by_attempt[attempt], self.router_of(attempt)
            # A stream that has begun is not ended by a revocation, also if it goes on at another engine.
            if answer.response_at and answer.response_at <= at:
                continue
            name = account or None
            if name is None and answer.kind != "open":
                self.report("ACCOUNT", f"{attempt} reached {endpoint} without an account")
                continue
            # By the clock: also routers that reach the store only through others know the change.
            if self.is_in_touch(router, at) and name not in self.holders(answer.key, at - SEND_SECONDS, at):
                self.report("ACCOUNT", f"{attempt} reached {endpoint} as {name}, but its key {answer.key} has been held "
                                       f"by {self.holders(answer.key, at - SEND_SECONDS, at)} for {KEY_APPLY_SECONDS} s")
            # By the router's own log: each send agrees with a state that was in force right before.
            times = self.revisions[router]
            first = max(bisect.bisect_right(times, (at - SEND_SECONDS, float("inf"))) - 1, 0)
            last = bisect.bisect_right(times, (at, float("inf")))
            states = [self.deployment.known_accounts[revision] for _, revision in times[first:max(last, first + 1)]]
            if name not in {accounts.get(answer.key) for accounts in states}:
                self.report("ACCOUNT", f"{attempt} reached {endpoint} as {name}, which router {router} knew not to hold "
                                       f"{answer.key}")
            self.account_checks["named" if name else "anonymous"] += 1
        for answer in self.answers:
            self.check_key_refusal(answer)

    def check_key_refusal(self, answer):
        """A key that is known is not refused, and a refused request has not run."""
        holders = self.holders(answer.key, answer.begin, answer.end)
        is_judged = self.is_in_touch(answer.router, answer.begin) and self.is_in_touch(answer.router, answer.end)
        code = answer.body.decode(errors="replace")
        if answer.status == 401:
            self.account_checks["401"] += 1
            if self.runs[answer.attempt] > 0:
                self.report("REFUSED", f"{answer.attempt} got 401 and ran {self.runs[answer.attempt]} times")
            if answer.kind == "open" or (is_judged and None not in holders):
                self.report("ACCOUNT", f"{answer.attempt} with the known key {answer.key} got 401")
        if answer.status == 503 and "key_may_be_new" in code:
            self.account_checks["503"] += 1
            if not answer.key or (is_judged and None not in holders):
                self.report("ACCOUNT", f"{answer.attempt} with the known key {answer.key} was told that it may be new")
        if answer.status == 200 and answer.kind != "open" and None in holders and len(holders) == 1 and is_judged:
            self.report("ACCOUNT", f"{answer.attempt} with the unknown key {answer.key} was served")

    def check_memory(self):
        """No router exceeds the memory of an entry VM, whatever endpoints send."""
        for index, peak in self.deployment.peak_memory_mb.items():
            if peak > MEMORY_LIMIT_MB:
                self.report("MEMORY", f"router {index} used {peak:.0f} MB, {MEMORY_LIMIT_MB} are allowed")

    def check_processes(self):
        """No process ends by itself."""
        for name, process in [*self.deployment.routers.items(), *self.deployment.links.items()]:
            code = process.child.poll()
            if code is not None and code not in (0, -signal.SIGKILL):
                self.report("ENDED", f"{process.name} ended with {code}")

    def run(self):
        self.check_leaving()
        self.check_own_word()
        self.check_closed()
        self.check_limits()
        self.check_budget()
        self.check_answers()
        self.check_served()
        self.check_versions()
        self.check_resumed()
        self.check_parts()
        self.check_accounts()
        self.check_memory()
        self.check_processes()
        return self.broken


# ----------------------------------------------------------------------------------------------------------------------
# 5. command line
# ----------------------------------------------------------------------------------------------------------------------


async def watch_memory(deployment):
    while True:
        deployment.record_memory()
        await asyncio.sleep(0.2)


async def play(deployment, arguments):
    randomness = random.Random(arguments.seed)
    callers = Callers(deployment, random.Random(arguments.seed + 1), arguments.rate)
    faults = Faults(deployment, randomness)
    load = asyncio.create_task(callers.run(arguments.seconds + 2))
    watch = asyncio.create_task(watch_memory(deployment))
    replace = asyncio.create_task(faults.replace_crashed())
    await getattr(faults, arguments.scenario)(arguments.seconds)
    await load
    watch.cancel()
    replace.cancel()
    return callers, faults


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--bin", default="build/bin", help="folder with the programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30, help="time with faults")
    parser.add_argument("--rate", type=float, default=60, help="requests per second")
    parser.add_argument("--routers", type=int, default=5)
    parser.add_argument("--plain", type=int, default=3, help="plain endpoints at the start")
    parser.add_argument("--prefill", type=int, default=3, help="prefill engines at the start")
    parser.add_argument("--decode", type=int, default=6, help="decode engines at the start")
    parser.add_argument("--scenario", choices=SCENARIOS, default="mixed")
    parser.add_argument("--keep", help="folder in which the logs are kept; default: kept only if a promise was broken")
    arguments = parser.parse_args()
    if arguments.scenario == "faulty_replies":  # five of nine decode engines are sound, and so on
        arguments.plain, arguments.decode = max(arguments.plain, 5), max(arguments.decode, 9)
    folder = Path(arguments.keep or tempfile.mkdtemp(prefix=f"soak-{arguments.scenario}-{arguments.seed}-"))
    folder.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(arguments.bin, folder, arguments.routers, arguments.plain, arguments.prefill,
                            arguments.decode, 1.0 if arguments.scenario == "unannounced_leaves" else 0.5)
    if arguments.scenario == "leaves_by_own_word":
        deployment.announce_delay_ms = 6000
    if arguments.scenario == "accounts":
        deployment.accounts = {f"key-start-{number}": ACCOUNTS[number % len(ACCOUNTS)] for number in range(8)}
        deployment.key_changes.append((0, 0, dict(deployment.accounts)))
    if arguments.scenario.startswith("version"):
        deployment.event_interval_ms = 100  # long enough for streams to be cut by routers that end
    if arguments.scenario == "versions_all_killed":
        deployment.budget_ms, deployment.resume_delay = 12000, 5.0
    if arguments.scenario == "versions_router_lost":
        deployment.budget_ms = 12000  # callers take streams up seconds after they began
    try:
        deployment.start()
        for index in deployment.routers:
            wait_for_port(deployment.address("callers", index))
        time.sleep(1.5)  # all endpoints are registered, and the routers have read them
        callers, faults = asyncio.run(play(deployment, arguments))
    finally:
        deployment.stop()
    time.sleep(0.2)
    checks = Checks(deployment, callers.answers)
    broken = checks.run()
    for at, text in faults.log:
        print(f"  {at:.3f} {text}")
    outcomes = collections.Counter((answer.kind, answer.status if answer.is_complete else "broken")
                                   for answer in callers.answers)
    print(f"{arguments.scenario} seed {arguments.seed}: {len(callers.answers)} requests, "
          f"{len(checks.arrivals)} arrivals, {len(faults.log)} faults, "
          f"{', '.join(f'{kind} {status}: {count}' for (kind, status), count in sorted(outcomes.items(), key=str))}")
    if checks.account_checks:
        print(f"{len(deployment.key_changes)} changes of keys; " +
              ", ".join(f"{name}: {count}" for name, count in sorted(checks.account_checks.items())))
    kinds = collections.Counter(kind for replies in checks.wrong_replies.values() for kind in replies)
    if kinds:
        print("wrong replies: " + ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())))
    if checks.limit_share is not None:
        print(f"{checks.limit_share:.0%} of the stated limits were used")
    resumed = [answer for answer in callers.answers if answer.resumed]
    if resumed:
        print(f"{len(resumed)} streams taken up again, {sum(answer.status == 200 for answer in resumed)} went on")
    for rule, text in broken:
        print(f"BROKEN {rule}: {text}")
    if broken or arguments.keep:
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    print(f"{len(checks.answers) and 1 - bool(broken)} passed, {int(bool(broken))} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
