"""Streams of a split route are taken up after a router was killed. See claim.txt."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib3"))

import fleet as fleets  # noqa: E402
import wire  # noqa: E402

SERVICES = ["llm-a", "llm-b", "llm-c"]
WEIGHTS = [34, 33, 33]
ROUTERS = 3
TOKENS = 700  # 50 events of 14 tokens, about 5 s
ENGINE = {"slots": 16, "kv_capacity_tokens": 34446, "kv_token_bytes": 163840, "link_mbps": 1600000.0, "moves": True,
          "backups": True, "stride": 14, "most": 12, "handle_ttl_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0,
          "hold_ms": 2000.0, "models": [{"name": "m"}]}
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-qa", "host": "qa.example", "prefix": "/qa/", "kind": "streaming", "timeout_ms": 14000,
                "target_latency_ms": 900, "priority": 1,
                "split": [{"service": name, "weight": weight} for name, weight in zip(SERVICES, WEIGHTS)],
                "max_attempts": 2, "sticky": True, "resumable": True, "gap_aim_ms": 300}],
    "services": [{"name": name, "health_path": "/health", "max_conns": 180, "protocol": "h1", "tls": False,
                  "engine": ENGINE} for name in SERVICES],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


async def attempt_stream(router, stream, attempt, result):
    """One client attempt. Fills `result` with its status and the number of events that it brought."""
    events = stream["events"]
    head = (f"POST /qa/{stream['number']} HTTP/1.1\r\nHost: qa.example\r\nPersimmonchute-Attempt-Id: {attempt}\r\n"
            f"Persimmonchute-Model: m\r\nPersimmonchute-Token-Count: 500,{TOKENS}\r\n"
            f"Persimmonchute-Prompt-Prefix: {stream['number'] + 1:x}:500\r\n"
            f"Persimmonchute-Deadline-Ms: {max(1, int((stream['end'] - time.monotonic()) * 1000))}\r\n")
    if events:
        head += f"Last-Event-Id: {events[-1][0]}\r\nResumes: {stream['first']}\r\n"
    reader, writer = await asyncio.wait_for(asyncio.open_connection(router["host"], router["front"]), 1)
    try:
        writer.write((head + "Content-Length: 0\r\n\r\n").encode())
        answered = await wire.read_head(reader)
        if answered is None:
            return
        result["status"] = int(answered[0].split()[1])
        if result["status"] != 200:
            result["body"] = (await wire.read_body(reader, answered[1])).decode("latin-1")
            return
        rest = b""
        async for part in wire.read_chunks(reader):
            rest += part
            while b"\n\n" in rest:
                event, rest = rest.split(b"\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n") if ": " in line)
                events.append((int(fields["id"]), fields["data"].split()[1]))
                stream["first"] = stream["first"] or attempt
                result["events"] += 1
        result["whole"] = True
    finally:
        writer.close()


async def run_stream(routers, stream, killed):
    order = [stream["router"]]
    for tries in range(2):  # the client retries once, at another daemon
        if tries == 1:
            # The retry goes to a router that no disruption has touched.
            order.append(next(r for r in (2, 0, 1) if r != order[0] and r not in killed))
        result = {"try": tries, "router": order[tries], "at": time.monotonic(), "status": 0, "events": 0,
                  "whole": False, "body": "", "takes_up": bool(stream["events"])}
        stream["tries"].append(result)
        try:
            left = max(0.1, stream["end"] - time.monotonic())
            await asyncio.wait_for(
                attempt_stream(routers[order[tries]], stream, f"s{stream['number']:04d}-{tries}", result), left)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        if result["whole"]:
            return


async def case(fleet, record, trouble):
    fleet.start_store()
    await fleet.wait_for_port(fleet.store_port)
    await fleet.write(("op", "config", json.dumps(CONFIG)))
    ports = {}
    for service in SERVICES:
        for n in range(1, 5):
            name = f"i-{service}-{n}"
            ports[name] = fleets.free_port()
            fleet.start_replica("model.py", name, ports[name], "--service", service, "--slots", "16", "--stage",
                                "prefill" if n == 4 else "decode")
    for port in ports.values():
        await fleet.wait_for_port(port)
    internal, control = fleets.free_port(fleets.socket.SOCK_DGRAM), fleets.free_port()
    seeds = ",".join(f"127.0.0.{2 + n}:{control}" for n in range(ROUTERS))
    routers = []
    for n in range(ROUTERS):
        host = f"127.0.0.{2 + n}"
        own = {"front": fleets.free_port(host=host), "ready": fleets.free_port(host=host), "control": control}
        routers.append(fleet.start_router_at(f"front-{n}", host, own, internal, seeds=seeds))
    for router in routers:
        await fleet.wait_ready(router)
    await asyncio.sleep(5)  # all routers have been in touch for contact_ms
    begin = time.monotonic()
    kills = [(begin + 8.0, 0), (begin + 16.0, 1)] if trouble else []
    killed = set()
    streams, tasks = [], []
    while time.monotonic() < begin + 22.0:
        if kills and time.monotonic() >= kills[0][0]:
            _, n = kills.pop(0)
            killed.add(n)
            fleet.signal(f"front-{n}", signal.SIGKILL)
            record(f"{time.monotonic() - begin:7.3f} s  router front-{n} is killed")
        number = len(streams)
        alive = [n for n in range(ROUTERS) if n not in killed]
        stream = {"number": number, "events": [], "tries": [], "first": "", "router": alive[number % len(alive)],
                  "end": time.monotonic() + 14.0}
        streams.append(stream)
        tasks.append(asyncio.create_task(run_stream(routers, stream, killed)))
        await asyncio.sleep(0.08)
    await asyncio.gather(*tasks)
    new = {"begin": 0, "all": 0}
    taken_up = {"go on": 0, "all": 0}
    reasons = {}
    for stream in streams:
        for result in stream["tries"]:
            counts = taken_up if result["takes_up"] else new
            counts["all"] += 1
            if result["events"] > 0:
                counts["go on" if result["takes_up"] else "begin"] += 1
            elif result["takes_up"]:
                try:
                    code = json.loads(result["body"])["error"]["code"]
                except (ValueError, KeyError, TypeError):
                    code = ""
                reason = f"status {result['status']} {code}"
                reasons[reason] = reasons.get(reason, 0) + 1
                began = stream["events"][0][1]
                record(f"{result['at'] - begin:7.3f} s  stream {stream['number']}, begun by {began}, is taken up after "
                       f"event {stream['events'][-1][0]} at front-{result['router']}, which answers {reason}")
    began_share = new["begin"] / max(1, new["all"])
    on_share = taken_up["go on"] / max(1, taken_up["all"])
    record(f"new streams: {new['all']}, of which {new['begin']} began ({began_share:.2f})")
    record(f"streams that clients took up: {taken_up['all']}, of which {taken_up['go on']} went on ({on_share:.2f}); "
           f"the others: {json.dumps(reasons)}")
    if trouble and taken_up["all"] < 12:
        raise fleets.CannotRun("fewer than 12 streams were taken up")
    return taken_up["all"] < 12 or on_share >= began_share / 2


if __name__ == "__main__":
    fleets.play(case, HERE)
