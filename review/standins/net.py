"""HTTP server, HTTP client and TCP proxy of the stand-ins (asyncio, standard library only)."""
import asyncio
import json
import socket
import struct


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        text = self.target.partition("?")[2]
        return dict(part.partition("=")[::2] for part in text.split("&") if part)

    def json(self):
        return json.loads(self.body)


class Response:
    def __init__(self, status, body=b"", content_type="application/json", headers=()):
        self.status, self.content_type, self.headers = status, content_type, dict(headers)
        self.body = json.dumps(body).encode() if isinstance(body, (dict, list)) else body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class HttpServer:
    """Calls `handler(request)` for each request. A handler that returns None leaves the
    request without an answer; the connection stays open."""

    def __init__(self, address, handler):
        self.address, self.handler = address, handler
        self.server = None
        self.connections = set()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, await read_body(reader, headers))
                response = await self.handler(request)
                if response is None:
                    await asyncio.Event().wait()
                head = (
                    f"HTTP/1.1 {response.status} S\r\nContent-Type: {response.content_type}\r\n"
                    f"Content-Length: {len(response.body)}\r\n\r\n"
                )
                writer.write(head.encode() + response.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class HttpConnection:
    """One keep-alive connection of a client."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def call(self, method, target, body=b"", headers=()):
        if self.writer is None:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {target} HTTP/1.1"]
        sent = {"Host": self.address, "Content-Type": "application/json", **dict(headers)}
        sent["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in sent.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()
        line, received = await read_head(self.reader)
        status = int(line.split(" ")[1])
        return Response(status, await read_body(self.reader, received), headers=received)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.reader = self.writer = None


async def call_once(address, method, target, body=b"", headers=(), timeout=10):
    connection = HttpConnection(address)
    try:
        return await asyncio.wait_for(connection.call(method, target, body, headers), timeout)
    finally:
        connection.close()


class Proxy:
    """Forwards TCP connections. Faults: `reset_all()` resets every open connection; with
    `hold` set, bytes are kept and delivered once it is cleared; `drop_up` discards what
    callers send."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.server = None
        self.pairs = set()
        self.flowing = asyncio.Event()
        self.flowing.set()

    async def start(self):
        host, port = self.listen.rsplit(":", 1)
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self.pairs.add(pair)
        for each in pair:
            each.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.pairs.discard(pair)
            for each in pair:
                each.transport.abort()

    async def pump(self, reader, writer):
        while True:
            data = await reader.read(65536)
            await self.flowing.wait()
            if not data:
                writer.close()
                return
            writer.write(data)

    def reset_all(self):
        count = 0
        for pair in list(self.pairs):
            for each in pair:
                reset(each)
            count += 1
        return count

    def close(self):
        if self.server:
            self.server.close()
        self.reset_all()


def reset(writer):
    """Ends a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()
