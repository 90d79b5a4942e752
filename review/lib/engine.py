"""Stand-in for a model engine, run as a process of its own so that it can be killed.

It answers requests with streams of events, or plain requests with one body, as the
users' pages describe: it checks ``Expected-Instance`` and ``Expected-Version``, echoes
``Request-Id`` and signs its responses. It never crashes by itself.
"""

import argparse
import asyncio
import json
import os
import time


def parse_arguments():
    """Return the command line of the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--born", type=int, required=True)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--queue", type=int, default=0)
    parser.add_argument("--first-event-s", type=float, default=0.3)
    parser.add_argument("--gap-s", type=float, default=0.03)
    parser.add_argument("--events", type=int, default=8)
    parser.add_argument("--limit", default="")
    parser.add_argument("--limit-file", default="")
    parser.add_argument("--leaving-file", default="")
    return parser.parse_args()


class Engine:
    """State of the engine: running requests and its log."""

    def __init__(self, args):
        self.args = args
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(args.slots)
        self.log = open(args.log, "a", buffering=1)

    def record(self, event, **fields):
        """Append a line to the log."""
        line = {"t": time.time(), "server": self.args.id, "event": event, **fields}
        self.log.write(json.dumps(line) + "\n")

    def limit(self):
        """Return the value of ``Server-Limit``, empty for none."""
        if self.args.limit_file:
            try:
                with open(self.args.limit_file) as file:
                    return file.read().strip()
            except OSError:
                return ""
        return self.args.limit

    def is_leaving(self):
        """Return whether the engine is leaving."""
        return bool(self.args.leaving_file) and os.path.exists(self.args.leaving_file)

    def announcements(self):
        """Return the headers in which the engine says its limit and its leaving."""
        found = [f"Server-Limit: {limit}"] if (limit := self.limit()) else []
        return [*found, "Server-Leaving: 1"] if self.is_leaving() else found

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        """Serve one request; return whether the connection stays open."""
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        headers = {}
        while (raw := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = raw.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        path = target.partition("?")[0]
        if path == "/health":
            status = 503 if self.is_leaving() else 200
            self.respond(writer, status, self.announcements(), b"{}")
        elif path == "/v1/report":
            self.respond(writer, 200, [], json.dumps(self.report()).encode())
        else:
            await self.handle(writer, method, target, headers, body)
        await writer.drain()
        return True

    def report(self):
        """Return the engine's report."""
        return {
            "stage": "unified",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "layers": {"from": 0, "to": 16, "version": 1},
            "busy": False,
            "sequence": 0,
            "waiting": self.waiting,
            "running": self.running,
            "kv_cache_used": 0,
            "kv_cache_total": 1640000 * 16,
            "pace": 1.0,
            "handles": 0,
            "born": self.args.born,
        }

    def respond(self, writer, status, headers, body, is_head=False):
        """Write a complete response; one to a HEAD request has no body."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Instance-Id: {self.args.id}",
            f"Server-Load: {self.running},{self.waiting},{self.args.slots}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        content = b"" if is_head else body
        writer.write("\r\n".join([*lines, "", ""]).encode() + content)

    async def handle(self, writer, method, target, headers, body):
        """Run a request or reject it."""
        request_id = headers.get("request-id", "")
        common = [f"Request-Id: {request_id}"]
        common += self.announcements()
        limit = self.limit()
        expected = headers.get("expected-instance", self.args.id)
        version = headers.get("expected-version", "1")
        sender = headers.get("x-sender", "")
        if expected != self.args.id or version != "1":
            self.record("misdirected", request=request_id)
            return self.respond(writer, 421, [*common, "Not-Executed: 1"], b"")
        self.record(
            "arrived",
            request=request_id,
            target=target,
            limit=limit,
            sender=sender,
            parts=headers.get("prompt-prefix", ""),
        )
        is_full = self.running >= self.args.slots and self.waiting >= self.args.queue
        if is_full:
            self.record("rejected", request=request_id)
            return self.respond(writer, 503, [*common, "Not-Executed: 1"], b"")
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.args.first_event_s)
            self.record("began", request=request_id)
            signed = [*common, "Server-Signature: 3e1b.07", "Weight-Versions: 1"]
            if "model" not in headers:
                answer = b"done " + request_id.encode()
                self.respond(writer, 200, signed, answer, method == "HEAD")
            else:
                await self.stream(writer, signed, headers)
            self.record("ended", request=request_id)
        finally:
            self.running -= 1
            self.free.release()

    async def stream(self, writer, signed, headers):
        """Write a stream of events in chunks."""
        lines = [
            "HTTP/1.1 200 OK",
            f"Instance-Id: {self.args.id}",
            f"Server-Load: {self.running},{self.waiting},{self.args.slots}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *signed,
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, self.args.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.args.gap_s)
        writer.write(b"0\r\n\r\n")


async def main():
    """Serve until the process is ended."""
    args = parse_arguments()
    engine = Engine(args)
    server = await asyncio.start_server(engine.serve, args.host, args.port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
