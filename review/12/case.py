"""A planned restart of a router before replicas whose events have increasing ids with uneven steps. See claim.txt."""

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

GRACE_S = 8.0  # bounds.grace_s of the settings
RESTART_DELAY_S = 0.3
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-law", "host": "qa.example", "prefix": "/law/", "kind": "streaming", "timeout_ms": 14000,
                "target_latency_ms": 900, "priority": 1, "service": "llm", "max_attempts": 1, "sticky": True,
                "resumable": False, "gap_aim_ms": 300}],
    "services": [{"name": "llm", "health_path": "/health", "max_conns": 180, "protocol": "h1", "tls": False,
                  "engine": {"slots": 16, "kv_capacity_tokens": 34446, "kv_token_bytes": 163840,
                             "link_mbps": 1600000.0, "moves": True, "backups": True, "stride": 14, "most": 12,
                             "handle_ttl_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
                             "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


async def send(router, stream):
    """One client attempt on a route that may not be resumed; it is not repeated."""
    attempt = f"s{stream['number']:04d}"
    head = (f"POST /law/{stream['number']} HTTP/1.1\r\nHost: qa.example\r\nPersimmonchute-Attempt-Id: {attempt}\r\n"
            "Persimmonchute-Model: m\r\nPersimmonchute-Token-Count: 1500,170\r\n"
            f"Persimmonchute-Prompt-Prefix: {stream['number'] + 1:x}:1500\r\nPersimmonchute-Deadline-Ms: 14000\r\n"
            "Content-Length: 0\r\n\r\n").encode()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(router["host"], router["front"]), 1)
    except (OSError, asyncio.TimeoutError):
        stream["end"] = "no connection"
        return
    try:
        stream["sent"] = time.monotonic()
        writer.write(head)
        answered = await wire.read_head(reader)
        if answered is None:
            stream["end"] = "cut, no answer"
            return
        stream["status"] = int(answered[0].split()[1])
        if stream["status"] != 200:
            await wire.read_body(reader, answered[1])
            stream["end"] = f"status {stream['status']}"
            return
        body = b""
        async for part in wire.read_chunks(reader):
            body += part
            stream["ids"] = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
        stream["end"] = "whole"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        stream["end"] = "cut in the answer"
    finally:
        stream["got"] = time.monotonic()
        writer.close()


async def case(fleet, record, trouble):
    fleet.start_store()
    await fleet.wait_for_port(fleet.store_port)
    await fleet.write(("op", "config", json.dumps(CONFIG)))
    ports = {f"i-d{n}": fleets.free_port() for n in range(1, 7)}
    for name, port in ports.items():
        fleet.start_replica("model.py", name, port, "--service", "llm", "--token-ids", "--event-ms", "60", "--stage",
                            "prefill" if name == "i-d6" else "decode")
    for port in ports.values():
        await fleet.wait_for_port(port)
    host = "127.0.0.1"
    router_ports = {key: fleets.free_port() for key in ("front", "ready", "control")}
    internal = fleets.free_port(fleets.socket.SOCK_DGRAM)
    router = fleet.start_router_at("front-sofia-a-1", host, router_ports, internal)
    await fleet.wait_ready(router)
    await asyncio.sleep(2)
    begin = time.monotonic()
    stop_at = begin + 14.0
    window_end = stop_at + GRACE_S + 1.0
    state = "runs"
    streams, tasks = [], []
    ended_at = None
    while time.monotonic() < window_end:
        now = time.monotonic()
        if trouble and state == "runs" and now >= stop_at:
            state = "stops"
            fleet.signal("front-sofia-a-1", signal.SIGTERM)
            record(f"{now - begin:7.3f} s  SIGTERM to the router")
        elif state == "stops" and fleet.processes["front-sofia-a-1"].poll() is not None:
            ended_at = ended_at or now
            if now >= ended_at + RESTART_DELAY_S:
                state = "started"
                fleet.start_router_at("front-sofia-a-1", host, router_ports, internal, bootstrap="false")
                record(f"{ended_at - begin:7.3f} s  the router has ended")
                record(f"{now - begin:7.3f} s  it is started again")
        stream = {"number": len(streams), "sent": now, "ids": [], "end": "", "status": 0, "got": now}
        streams.append(stream)
        tasks.append(asyncio.create_task(send(router, stream)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    begun = {line["attempt"]: line for line in fleet.arrivals() if line["what"] == "begins"}
    counts = {"before": {}, "planned work": {}}
    lost = []
    for stream in streams:
        part = "planned work" if stop_at <= stream["sent"] and stream["got"] <= window_end else "before"
        if part == "before" and stream["sent"] >= stop_at:
            continue  # its end lies after the window
        counts[part][stream["end"]] = counts[part].get(stream["end"], 0) + 1
        attempt = f"s{stream['number']:04d}"
        if part == "planned work" and stream["end"].startswith("cut") and attempt in begun:
            lost.append(stream)
            record(f"{stream['sent'] - begin:7.3f} s  stream {attempt} is sent; {begun[attempt]['replica']} runs it and "
                   f"lives on; at {stream['got'] - begin:.3f} s the router cuts it, after the events {stream['ids']}")
    record(f"streams by their end, in the first 14 s: {json.dumps(counts['before'], sort_keys=True)}")
    record(f"streams by their end, from then on, for 9 s: {json.dumps(counts['planned work'], sort_keys=True)}")
    record(f"streams of these 9 s that were passed on to a replica and ended without a complete answer: {len(lost)}")
    return not lost


if __name__ == "__main__":
    fleets.play(case, HERE)
