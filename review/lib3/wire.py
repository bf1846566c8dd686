"""Small HTTP/1.1 helpers of the stand-ins: asyncio streams, loopback addresses only."""

import asyncio


async def read_head(reader):
    """Returns the first line and the headers (lower-case names), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body; raises if it breaks off before its last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


def answer(status, body=b"", headers=None):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def exchange(host, port, request, timeout):
    """Sends a request on a new connection; returns the status, the headers and the body."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            body = await read_body(reader, head[1])
            return int(head[0].split()[1]), head[1], body
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


async def serve(host, port, handle):
    """Calls handle(method, target, headers, body, writer) for each request; False from it closes the connection."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await handle(method, target, head[1], body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=512)
