"""Stand-in of the platform's metadata store: tables of rows, conditional transactions and a change feed.

PROTOCOL.md, "The platform's metadata store". It removes an entry of the table `servers` after three status report
intervals of silence. POST /test-mode (not part of the pages) sets "ok" or "busy" (every call gets 503, nothing is done).
"""

import argparse
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire


class Store:
    def __init__(self, expiry_s):
        self.rows = {}  # (table, key) -> (value, version)
        self.history = []  # (version, table, key)
        self.version = 0
        self.changed = asyncio.Condition()
        self.mode = "ok"
        self.expiry_s = expiry_s
        self.written = {}  # key of an entry of `servers` -> time of its last write

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    def apply(self, puts, removed):
        self.version += 1
        for item in puts:
            self.rows[(item["table"], item["key"])] = (item["value"], self.version)
            if item["table"] == "servers":
                self.written[item["key"]] = time.monotonic()
        for item in removed:
            self.rows.pop((item["table"], item["key"]), None)
            self.written.pop(item["key"], None)
        for item in puts + removed:
            self.history.append((self.version, item["table"], item["key"]))

    async def transact(self, body):
        current = []
        for item in body.get("expected", []):
            known = self.rows.get((item["table"], item["key"]))
            if (known[1] if known else 0) != item["ver"]:
                current.append(self.row(item["table"], item["key"]) if known else
                               {"table": item["table"], "part": "", "key": item["key"], "ver": 0, "deleted": True})
        if current:
            return 412, {"rows": current, "ver": self.version, "now_ms": self.now_ms()}
        async with self.changed:
            self.apply(body.get("puts", []), body.get("remove", []))
            self.changed.notify_all()
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def read(self, query):
        low, high = query.get("from", ""), query.get("to", "")
        rows = [self.row(t, k) for t, k in sorted(self.rows) if t == query["table"] and k >= low and (not high or k < high)]
        return 200, {"rows": rows, "has_more": False, "ver": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        async with self.changed:
            while True:
                latest = {key: ver for ver, table, key in self.history if table == query["table"] and ver > after}
                left = end - time.monotonic()
                if latest or left <= 0 or self.mode != "ok":
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = []
        for key, version in sorted(latest.items(), key=lambda item: item[1]):
            rows.append(self.row(query["table"], key) if (query["table"], key) in self.rows else
                        {"table": query["table"], "part": "", "key": key, "ver": version, "deleted": True})
        return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            # An entry lapses while the store is away too.
            lapsed = [key for key, at in self.written.items() if now - at > self.expiry_s]
            if lapsed:
                async with self.changed:
                    self.apply([], [{"table": "servers", "key": key} for key in lapsed])
                    self.changed.notify_all()

    async def handle(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/test-mode":
            async with self.changed:
                self.mode = query["set"]
                self.changed.notify_all()
            status, result = 200, {}
        elif self.mode == "busy":
            status, result = 503, {}
        elif parts.path == "/rows-tx":
            status, result = await self.transact(json.loads(body))
        elif parts.path == "/rows-get":
            status, result = self.read(query)
        elif parts.path == "/rows-feed":
            status, result = await self.feed(query)
            if self.mode == "busy":
                status, result = 503, {}
        elif parts.path == "/rows-parts":
            status, result = 200, {"parts": [""], "has_more": False, "ver": self.version, "now_ms": self.now_ms()}
        else:
            status, result = 404, {}
        writer.write(wire.answer(status, json.dumps(result).encode(),
                                 {"Content-Type": "application/json", "Store-Era": "1"}))
        await writer.drain()
        return True


def transaction(host, port, puts=(), removed=()):
    """A write call without conditions, as bytes. `puts`: (table, key, text)."""
    body = json.dumps({
        "expected": [],
        "puts": [{"table": t, "part": "", "key": k, "value": base64.b64encode(v.encode()).decode()} for t, k, v in puts],
        "remove": [{"table": t, "part": "", "key": k} for t, k in removed],
    }).encode()
    return (f"POST /rows-tx HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode() + body


async def main():
    options = argparse.ArgumentParser()
    options.add_argument("--host", default="127.0.0.1")
    options.add_argument("--port", type=int, required=True)
    options.add_argument("--expiry-s", type=float, default=3.6)
    given = options.parse_args()
    store = Store(given.expiry_s)
    server = await wire.serve(given.host, given.port, store.handle)
    asyncio.get_running_loop().create_task(store.expire())
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
