"""Stand-in of a replica of a plain service, as PROTOCOL.md describes it ("Answers", "Replicas", "Service discovery").

It registers itself in the store at its start and each `heartbeat` after that. On SIGTERM it leaves: it says so in all
its answers (`Server-Leaving: 1`), reports `draining` or, with --unannounced, has its entry removed, serves on for
--serve-s seconds and exits. It writes what reaches it to its log, a line of JSON each.
"""

import argparse
import asyncio
import json
import os
import signal
import time

import store
import wire


class Replica:
    def __init__(self, given):
        self.given = given
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.leaving = False
        self.running = 0
        self.log_file = open(given.log, "a", encoding="utf-8")

    def log(self, what, **fields):
        line = {"t": round(time.monotonic(), 4), "replica": self.given.id, "what": what, **fields}
        self.log_file.write(json.dumps(line) + "\n")
        self.log_file.flush()

    def entry(self, state):
        self.seq += 1
        return json.dumps({"service": self.given.service, "address": f"{self.given.host}:{self.given.port}",
                           "zone": self.given.zone, "version": self.given.version, "slots": self.given.slots,
                           "state": state, "cold_remaining_ms": 0, "seq": self.seq, "born": self.born})

    async def write_entry(self, state):
        """Writes the entry, or removes it (state None). Returns True if the store has accepted it."""
        host, port = self.given.store.split(":")
        put = [] if state is None else [("servers", self.given.id, self.entry(state))]
        removed = [("servers", self.given.id)] if state is None else []
        try:
            status, _, _ = await wire.exchange(host, int(port), store.transaction(host, port, put, removed), 0.5)
        except (OSError, asyncio.TimeoutError, ValueError):
            return False
        return status == 200

    async def beat(self):
        while not self.leaving:
            await self.write_entry("ready")
            await asyncio.sleep(self.given.heartbeat_ms / 1000)

    async def leave(self):
        self.leaving = True
        self.log("leaves", unannounced=self.given.unannounced)
        while not await self.write_entry(None if self.given.unannounced else "draining"):
            await asyncio.sleep(0.1)
        self.log("leaving_acknowledged")
        end = time.monotonic() + self.given.serve_s
        while time.monotonic() < end:
            await asyncio.sleep(min(self.given.heartbeat_ms / 1000, max(0.0, end - time.monotonic())))
            if not self.given.unannounced and time.monotonic() < end:
                await self.write_entry("draining")
        self.log("exits", running=self.running)
        os._exit(0)

    async def handle(self, method, target, headers, body, writer):
        attempt = headers.get("persimmonchute-attempt-id", "")
        own = {"Persimmonchute-Instance-Id": self.given.id}
        if self.given.limit:
            own["Server-Limit"] = self.given.limit
        if self.leaving:
            own["Server-Leaving"] = "1"
        expected = headers.get("persimmonchute-expect-instance", "")
        if expected not in ("", self.given.id):
            writer.write(wire.answer(421, b"", {**own, "Persimmonchute-Not-Executed": "1",
                                                "Persimmonchute-Attempt-Id": attempt}))
            return True
        if target == "/health":
            writer.write(wire.answer(503 if self.leaving else 200, b"", own))
            return True
        self.log("runs", attempt=attempt, leaving=self.leaving)
        self.running += 1
        await asyncio.sleep(self.given.work_ms / 1000)
        self.running -= 1
        own["Persimmonchute-Attempt-Id"] = attempt
        own["Persimmonchute-Server-Seal"] = f"seal.{self.given.id}.{attempt}"
        if self.leaving:
            own["Server-Leaving"] = "1"
            own["Connection"] = "close"
        writer.write(wire.answer(200, f"{self.given.id} has run {attempt}".encode(), own))
        await writer.drain()
        return not self.leaving


async def main():
    options = argparse.ArgumentParser()
    options.add_argument("--id", required=True)
    options.add_argument("--host", default="127.0.0.1")
    options.add_argument("--port", type=int, required=True)
    options.add_argument("--store", required=True)
    options.add_argument("--service", required=True)
    options.add_argument("--zone", default="sofia-a")
    options.add_argument("--version", default="v1")
    options.add_argument("--slots", type=int, default=6)
    options.add_argument("--work-ms", type=float, default=60)
    options.add_argument("--heartbeat-ms", type=float, default=1200)
    options.add_argument("--serve-s", type=float, default=3)
    options.add_argument("--unannounced", action="store_true")
    options.add_argument("--limit", default="")
    options.add_argument("--log", required=True)
    replica = Replica(options.parse_args())
    server = await wire.serve(replica.given.host, replica.given.port, replica.handle)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, lambda: loop.create_task(replica.leave()))
    beats = loop.create_task(replica.beat())
    replica.log("starts", born=replica.born)
    await server.serve_forever()
    await beats


if __name__ == "__main__":
    asyncio.run(main())
