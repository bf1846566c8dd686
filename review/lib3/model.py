"""Stand-in of a model replica, as PROTOCOL.md describes it ("Requests", "Replicas", "Prefill and decode").

It registers itself in the store at once when it starts, and each `heartbeat` after that; what the store refuses is
written again after 50 ms. The ids of its events rise by one, or with --token-ids are the number of tokens so far. The data of
each event names the attempt that its caller sent, the replica and its software version. It writes what reaches it to its log, a line of JSON each.
"""

import argparse
import asyncio
import json
import secrets
import time
import zlib

import store
import wire


class Model:
    def __init__(self, given):
        self.given = given
        self.stage = given.stage
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.beats = 0
        self.fence = 0
        self.busy = False
        self.holds = {}  # id -> (tokens, end)
        self.handles = {}  # id -> (tokens, end)
        self.running = {}  # attempt -> tokens
        self.reading = asyncio.Lock()
        self.log_file = open(given.log, "a", encoding="utf-8")

    def log(self, what, **fields):
        line = {"t": round(time.monotonic(), 4), "replica": self.given.id, "version": self.given.version, "what": what,
                **fields}
        self.log_file.write(json.dumps(line) + "\n")
        self.log_file.flush()

    def entry(self):
        self.beats += 1
        return json.dumps({"service": self.given.service, "address": f"{self.given.host}:{self.given.port}",
                           "zone": self.given.zone, "version": self.given.version, "slots": self.given.slots,
                           "state": "ready", "cold_remaining_ms": 0, "stage": self.stage,
                           "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.beats,
                           "born": self.born})

    async def beat(self):
        host, port = self.given.store.split(":")
        while True:
            call = store.transaction(host, port, [("servers", self.given.id, self.entry())])
            try:
                status, _, _ = await wire.exchange(host, int(port), call, 0.5)
            except (OSError, asyncio.TimeoutError, ValueError):
                status = 0
            await asyncio.sleep(self.given.heartbeat_ms / 1000 if status == 200 else 0.05)

    def used(self):
        now = time.monotonic()
        self.holds = {key: item for key, item in self.holds.items() if item[1] > now}
        self.handles = {key: item for key, item in self.handles.items() if item[1] > now}
        return sum(t for t, _ in self.holds.values()) + sum(self.running.values())

    def take_hold(self, body):
        used = self.used()
        if len(self.holds) + len(self.running) >= self.given.slots or used + body["tokens"] > self.given.kv_tokens:
            return None
        name = secrets.token_hex(6)
        self.holds[name] = (body["tokens"], time.monotonic() + min(body["ttl_ms"], 2000) / 1000)
        return name

    def order(self, body):
        if "holder" not in body or "fencing_token" not in body or body.get("op") != "stage":
            return 400
        if body["fencing_token"] < self.fence:
            return 412
        if self.busy or body.get("expected", self.seq) != self.seq:
            return 409
        self.fence = body["fencing_token"]
        if body["stage"] == self.stage:
            return 200
        self.seq += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.switch(body["stage"]))
        return 202

    async def switch(self, stage):
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.given.switch_s)
        self.stage = stage
        self.busy = False

    async def handle(self, method, target, headers, body, writer):
        own = {"Persimmonchute-Instance-Id": self.given.id}
        attempt = headers.get("persimmonchute-attempt-id", "")
        if attempt:
            own["Persimmonchute-Attempt-Id"] = attempt
        refused = {**own, "Persimmonchute-Not-Executed": "1"}
        expected = headers.get("persimmonchute-expect-instance", "")
        if expected not in ("", self.given.id):
            writer.write(wire.answer(421, b"", refused))
        elif target == "/report":
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": self.busy,
                      "seq": self.seq, "queued": 0, "running": len(self.running), "kv_used": self.used(),
                      "kv_total": self.given.kv_tokens, "kv_handles": len(self.handles), "state": "ready",
                      "born": self.born}
            writer.write(wire.answer(200, json.dumps(report).encode(), {"Content-Type": "application/json"}))
        elif target == "/health":
            writer.write(wire.answer(200, b"", own))
        elif target == "/hold-take":
            hold = None if self.busy else self.take_hold(json.loads(body))
            writer.write(wire.answer(503, b"", refused) if hold is None else
                         wire.answer(200, json.dumps({"hold": hold}).encode(), {"Content-Type": "application/json"}))
        elif target.startswith("/hold-drop/"):
            writer.write(wire.answer(200 if self.holds.pop(target[11:], None) else 404))
        elif target.startswith("/kv-handle/"):
            writer.write(wire.answer(200 if self.handles.pop(target[11:], None) else 404))
        elif target == "/order":
            writer.write(wire.answer(self.order(json.loads(body))))
        elif self.busy:
            writer.write(wire.answer(503, b"", refused))
        elif headers.get("persimmonchute-stage") == "prefill":
            await self.prefill(headers, own, refused, writer)
        else:
            return await self.decode(headers, own, refused, writer)
        await writer.drain()
        return True

    async def read_prompt(self, tokens, tokens_per_ms):
        async with self.reading:
            await asyncio.sleep(tokens / tokens_per_ms / 1000)

    async def prefill(self, headers, own, refused, writer):
        if self.stage != "prefill":
            writer.write(wire.answer(421, b"", refused))
            return
        tokens = int(headers["persimmonchute-token-count"].split(",")[0])
        await self.read_prompt(tokens, 33.3)
        name = secrets.token_hex(6)
        self.handles[name] = (tokens, time.monotonic() + 0.5)
        writer.write(wire.answer(200, json.dumps({"handle": name, "tokens": tokens, "version": 1}).encode(),
                                 {**own, "Content-Type": "application/json"}))

    def event_ids(self, last, tokens):
        """The ids of a run that goes on after `last`, for an output of so many tokens."""
        if not self.given.token_ids:
            return range(last + 1, -(-tokens // self.given.stride) + 1)
        # The id is the number of tokens so far. Each event holds `stride` tokens, and the last one what is left.
        ids = list(range(last + self.given.stride, tokens, self.given.stride))
        return ids + [tokens] if last < tokens else []

    async def decode(self, headers, own, refused, writer):
        attempt = headers["persimmonchute-attempt-id"]
        prompt, longest = (int(text) for text in headers["persimmonchute-token-count"].split(","))
        if self.stage != "decode":
            writer.write(wire.answer(421, b"", refused))
            return True
        hold = headers.get("persimmonchute-kv-hold", "")
        held = self.holds.pop(hold, None) if hold else None
        self.used()
        if held is None and (len(self.holds) + len(self.running) >= self.given.slots
                             or self.used() + prompt > self.given.kv_tokens):
            writer.write(wire.answer(503, b"", refused))
            return True
        self.running[attempt] = prompt
        try:
            if "persimmonchute-kv-source" in headers:
                await asyncio.sleep(0.01)
            else:
                await self.read_prompt(prompt, 16.6)
            last = int(headers.get("last-event-id", "0") or "0")
            self.log("begins", attempt=attempt, after=last)
            own["Persimmonchute-Server-Seal"] = f"seal.{self.given.id}.{attempt}"
            own["Persimmonchute-Weight-Versions"] = "1"
            text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in own.items()) + "\r\n"
            writer.write(text.encode())
            tokens = longest
            if self.given.token_ids:
                tokens = min(longest, 30 + zlib.crc32(attempt.encode()) % 100)  # the answer is shorter than the maximum
            for number in self.event_ids(last, tokens):
                event = f"id: {number}\ndata: {attempt} {self.given.id} {self.given.version}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if writer.is_closing():
                    return False
                self.running[attempt] = prompt + (number if self.given.token_ids else number * self.given.stride)
                await asyncio.sleep(self.given.event_ms / 1000)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running.pop(attempt, None)


async def main():
    options = argparse.ArgumentParser()
    options.add_argument("--id", required=True)
    options.add_argument("--host", default="127.0.0.1")
    options.add_argument("--port", type=int, required=True)
    options.add_argument("--store", required=True)
    options.add_argument("--service", required=True)
    options.add_argument("--stage", default="decode")
    options.add_argument("--zone", default="sofia-a")
    options.add_argument("--version", default="v1")
    options.add_argument("--slots", type=int, default=16)
    options.add_argument("--kv-tokens", type=int, default=34446)
    options.add_argument("--stride", type=int, default=14)
    options.add_argument("--token-ids", action="store_true")
    options.add_argument("--event-ms", type=float, default=100)
    options.add_argument("--switch-s", type=float, default=6.0)
    options.add_argument("--heartbeat-ms", type=float, default=1200)
    options.add_argument("--log", required=True)
    model = Model(options.parse_args())
    server = await wire.serve(model.given.host, model.given.port, model.handle)
    model.log("starts", born=model.born)
    beats = asyncio.get_running_loop().create_task(model.beat())
    await server.serve_forever()
    await beats


if __name__ == "__main__":
    asyncio.run(main())
