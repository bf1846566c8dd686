"""Starts the processes of a deployment on loopback: platform, endpoints with agents, and routers. Used by run.py."""

import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

SECRET = "bench-secret"
API_KEY = "bench-key"
MODEL = "bench-model"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
START_TIMEOUT_S = 40


class BenchError(Exception):
    """The deployment did not start or a process of it failed, so the run has no result."""


class Ports:
    """Allocates free ports below the ephemeral range, which the system uses for outgoing connections."""

    def __init__(self):
        self._used = set()
        self._random = random.Random(os.getpid())

    def allocate(self):
        while True:
            port = self._random.randrange(12000, 32000)
            if port in self._used:
                continue
            self._used.add(port)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def address(port):
    return f"127.0.0.1:{port}"


def http(method, target, path, body=None, timeout=5):
    """Returns the response body as text. Raises OSError unless the request succeeds."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{target}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


class Process:
    def __init__(self, name, command, folder):
        self.name = name
        self.log = os.path.join(folder, name + ".log")
        with open(self.log, "w") as log:
            self._child = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        self.pid = self._child.pid

    def is_running(self):
        return self._child.poll() is None

    def kill(self):
        if self.is_running():
            self._child.kill()
        self._child.wait()

    def stop(self, timeout_s=5):
        if self.is_running():
            self._child.send_signal(signal.SIGTERM)
        try:
            self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()

    def cpu_seconds(self):
        with open(f"/proc/{self.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def rss_mb(self):
        with open(f"/proc/{self.pid}/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES / 2**20


class Endpoint:
    """An engine or service with its agent.

    In the slow zone of a fault run, TCP proxies (fake-link) can delay the traffic to the agent and to an engine. A
    service has no proxy of its own.
    """

    def __init__(self, name, role, zone, pool):
        self.name, self.role, self.zone, self.pool = name, role, zone, pool
        self.target = self.agent_address = self.public_agent = self.public_target = None
        self.process = self.agent = None
        self.links = []
        self.link_controls = []


class Fleet:
    """Context manager that starts all processes of a deployment and stops them on exit."""

    def __init__(self, build, deployment, roles, mode="full", accounts=1, extra_records=0, slow_zone=None,
                 keep=False):
        self.build, self.deployment, self.mode = build, deployment, mode
        self.accounts, self.extra_records, self.slow_zone = accounts, extra_records, slow_zone
        self.keep = keep
        self.folder = tempfile.mkdtemp(prefix="persimmon-bench-")
        self.ports = Ports()
        self.processes = []
        self.routers = []
        self.endpoints = []
        self.router_http = []
        self._roles = roles

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *_):
        # In reverse order, so that no router sees the exit of an agent as a fault.
        for process in reversed(self.processes):
            process.stop(1)
        if self.keep:
            print(f"  logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start_process(self, name, program, *arguments):
        command = [os.path.join(self.build, "bin", program), *arguments]
        process = Process(name, command, self.folder)
        self.processes.append(process)
        return process

    def write_file(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            file.write(text)
        return path

    def ctl(self, *arguments, timeout=60):
        program = os.path.join(self.build, "bin", "persimmonctl")
        command = [program, "--platform", self.platform, "--secret", SECRET, *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=timeout)
        if completed.returncode != 0:
            raise BenchError(f"persimmonctl {arguments[0]}: {completed.stdout}{completed.stderr}")
        return completed.stdout

    # ------------------------------------------------------------------------------------------------------------------
    # start
    # ------------------------------------------------------------------------------------------------------------------

    def _start(self):
        self.platform = address(self.ports.allocate())
        self.platform_process = self.start_process("platform", "fake-platform", "--listen", self.platform)
        self._wait_for(lambda: http("GET", self.platform, "/vms"), "the platform")
        self._plan_endpoints()
        self._write_records()
        for endpoint in self.endpoints:
            self._start_endpoint(endpoint)
        self._start_routers()
        for target in self.router_http:
            self._wait_for(lambda: http("GET", target, "/readyz"), f"router {target}")
        revision = str(json.loads(self.ctl("list", "--json"))["revision"])
        self.ctl("wait", revision, "--timeout_ms", "30000")
        time.sleep(2)  # until load reports of every endpoint have arrived

    def _wait_for(self, probe, what):
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                return probe()
            except OSError as failure:
                if time.monotonic() > end:
                    raise BenchError(f"{what} does not answer: {failure}; logs: {self.folder}") from failure
                time.sleep(0.05)

    def _plan_endpoints(self):
        zones = self.deployment["zones"]
        pool, service = self.deployment["pool"], self.deployment["service"]
        planned = [("prefill", pool)] * self._roles["prefill"] + [("decode", pool)] * self._roles["decode"]
        planned += [("service", service)] * self._roles["service"]
        counts = {}
        for role, name in planned:
            number = counts[role] = counts.get(role, 0) + 1
            endpoint = Endpoint(f"{role}-{number}", role, zones[number % len(zones)], name)
            endpoint.target = address(self.ports.allocate())
            endpoint.agent_address = address(self.ports.allocate())
            endpoint.public_agent, endpoint.public_target = endpoint.agent_address, endpoint.target
            if endpoint.zone == self.slow_zone:
                endpoint.public_agent = self._start_link(endpoint, endpoint.agent_address)
                if role != "service":
                    endpoint.public_target = self._start_link(endpoint, endpoint.target)
            self.endpoints.append(endpoint)

    def _start_link(self, endpoint, to):
        listen, control = address(self.ports.allocate()), address(self.ports.allocate())
        name = f"{endpoint.name}-link-{len(endpoint.links)}"
        endpoint.links.append(
            self.start_process(name, "fake-link", "--listen", listen, "--to", to, "--control", control))
        endpoint.link_controls.append(control)
        return listen

    def _records(self):
        deployment = self.deployment
        key_hash = hashlib.sha256(API_KEY.encode()).hexdigest()
        yield {"kind": "pool", "name": deployment["pool"], "schema": 2, "type": "model",
               "targets": {"first_token_ms": 1300, "token_interval_ms": 58}}
        yield {"kind": "pool", "name": deployment["service"], "schema": 1, "type": "service",
               "path_prefix": deployment["path"]}
        yield {"kind": "model", "name": MODEL, "schema": 2, "pool": deployment["pool"], "versions": ["1"]}
        for number in range(self.accounts):
            key = key_hash if number == 0 else hashlib.sha256(f"key-{number}".encode()).hexdigest()
            yield {"kind": "account", "name": f"account-{number}", "schema": 2, "api_key_sha256": key,
                   "limits": {"tokens_per_second": 0, "burst_tokens": 0, "connections": 0}}
        for number in range(self.extra_records):
            yield {"kind": "adapter", "name": f"adapter-{number}", "schema": 2, "models": [MODEL]}
        for endpoint in self.endpoints:
            yield {"kind": "endpoint", "name": endpoint.name, "schema": 2, "pool": endpoint.pool,
                   "roles": [endpoint.role], "address": endpoint.public_agent, "zone": endpoint.zone}

    def _write_records(self):
        paths = []
        for number, record in enumerate(self._records()):
            paths.append(self.write_file(f"record-{number}.json", json.dumps(record)))
        for begin in range(0, len(paths), 400):
            self.ctl("put", *paths[begin:begin + 400], timeout=300)

    def _start_endpoint(self, endpoint):
        rates = self.deployment["rates"]
        if endpoint.role == "service":
            endpoint.process = self.start_process(endpoint.name, "fake-service", "--listen", endpoint.target, "--name",
                                                  endpoint.name)
        else:
            endpoint.process = self.start_process(
                endpoint.name, "fake-engine", "--listen", endpoint.target, "--name", endpoint.name, "--roles",
                endpoint.role, *(f"--{key}={value}" for key, value in rates.items()))
        kind = "service" if endpoint.role == "service" else "engine"
        path = self.write_file(endpoint.name + ".ini", f"""[process]
name = {endpoint.name}
zone = {endpoint.zone}
[listen]
channel = {endpoint.agent_address}
[endpoint]
kind = {kind}
{kind} = {endpoint.public_target}
[platform]
table_servers = {self.platform}
[peers]
secret = {SECRET}
[slots]
accept_unreserved = {"false" if self.mode == "full" else "true"}
""")
        endpoint.agent = self.start_process(endpoint.name + "-agent", "persimmon-agent", "--config", path)

    def _start_routers(self):
        zones = self.deployment["zones"]
        channels = [address(self.ports.allocate()) for _ in range(self.deployment["routers"])]
        for number, channel in enumerate(channels):
            target = address(self.ports.allocate())
            others = ", ".join(other for other in channels if other != channel)
            peers = f"routers = {others}\n" if others else ""
            path = self.write_file(f"router-{number}.ini", f"""[process]
name = router-{number}
zone = {zones[number % len(zones)]}
[listen]
http = {target}
channel = {channel}
datagram = {address(self.ports.allocate())}
[platform]
table_servers = {self.platform}
[peers]
secret = {SECRET}
{peers}[policy]
mode = {self.mode}
""")
            self.router_http.append(target)
            self.routers.append(self.start_process(f"router-{number}", "persimmon-router", "--config", path))

    # ------------------------------------------------------------------------------------------------------------------
    # measurement and faults
    # ------------------------------------------------------------------------------------------------------------------

    def engine_states(self):
        """Returns the /v1/state of each engine that answers, by endpoint name."""
        states = {}
        for endpoint in self.endpoints:
            if endpoint.role != "service" and endpoint.process.is_running():
                try:
                    states[endpoint.name] = json.loads(http("GET", endpoint.target, "/v1/state"))
                except OSError:
                    pass
        return states

    def endpoints_with_role(self, role):
        return [endpoint for endpoint in self.endpoints if endpoint.role == role]

    def kill_endpoint(self, endpoint):
        endpoint.process.kill()
        endpoint.agent.kill()

    def set_outage(self, outage):
        http("POST", self.platform, "/faults", {"outage": outage})

    def set_link_delay(self, delay_ms):
        for endpoint in self.endpoints:
            for control in endpoint.link_controls:
                http("POST", control, "/faults", {"delay_ms": delay_ms})

    def exited_processes(self):
        return [process.name for process in self.processes if not process.is_running()]

    def start_load(self, *arguments, json_path, log_name="load", targets=None):
        """Starts persimmon-load, which writes its progress to a log file in the fleet's folder."""
        return self.start_process(log_name, "persimmon-load", "--targets", ",".join(targets or self.router_http),
                                  "--api_key", API_KEY, "--json", json_path, *arguments)


def host_cpu():
    """Returns the busy and the total CPU ticks of the host."""
    with open("/proc/stat") as stat:
        fields = [int(field) for field in stat.readline().split()[1:9]]
    return sum(fields) - fields[3] - fields[4], sum(fields)
