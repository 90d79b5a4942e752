"""Throughput of one connection between two processes, for small frames and chunks.

Also measures traffic and CPU use of idle connections.

Usage: python -m bench.connection [seconds per case]
"""

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import anyio
import attrs
import trustme

from carobstand.wire import connection, tls
from carobstand.wire.gen import ttypes

CHUNK_BYTES = 1024 * 1024
TOKEN_BYTES = 24
BATCH_FRAMES = 32

IDLE_CONNECTIONS = 180
"""Idle connections open at once; an entry at design size has about 178 of agents."""


@attrs.frozen
class Cfg:
    """The settings that `carobstand.wire.tls` reads."""

    insecure: bool
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    vm: str = "bench"


def hello():
    return ttypes.Hello(
        protocol=connection.PROTOCOL_VERSION,
        role=ttypes.Role.AGENT,
        vm="bench",
        start_id="s",
        failure_domain="kutch-bhuj",
        region="kutch",
        address="127.0.0.1:1",
    )


def token_frame(i):
    data = b"t" * TOKEN_BYTES
    return ttypes.AnswerFrame(attempt_id=7, offset=i * TOKEN_BYTES, data=data)


CASES = {
    "token frames": ([ttypes.AnswerBatch(frames=[token_frame(1)])], 1),
    "token batches of 32": (
        [ttypes.AnswerBatch(frames=[token_frame(i) for i in range(BATCH_FRAMES)])],
        BATCH_FRAMES,
    ),
    "chunks of 1 MiB": (
        [ttypes.ChunkReply(request_id=1, digest="0" * 64, data=b"x" * CHUNK_BYTES)],
        1,
    ),
}


async def receive(cfg):
    """Accept connections; reply to Revoke with the CPU time used so far, in us."""

    async def on_message(conn, message):
        if isinstance(message, ttypes.Revoke):
            cpu_us = int(time.process_time() * 1e6)
            connection.post(conn, ttypes.RevokeReply(attempt_id=cpu_us))

    async def on_connection(conn):
        await connection.run(conn, on_message)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    print(listener.extra(anyio.abc.SocketAttribute.local_port), flush=True)
    await connection.serve(listener, hello, on_connection, tls.acceptor(cfg))


async def measure(cfg, port, messages, seconds):
    """Return messages sent, wall time, and CPU time of the sender and the receiver."""
    conn = await connection.dial(f"127.0.0.1:{port}", hello(), tls.client_context(cfg))
    replies = anyio.create_memory_object_stream(10)

    async def on_message(conn, message):
        replies[0].send_nowait(message.attempt_id)

    async def receiver_cpu():
        await connection.send(conn, ttypes.Revoke(attempt_id=1))
        return await replies[1].receive() / 1e6

    async with anyio.create_task_group() as tg:
        tg.start_soon(connection.run, conn, on_message)
        before = await receiver_cpu()
        cpu = time.process_time()
        start = time.perf_counter()
        sent = 0
        while time.perf_counter() - start < seconds:
            for message in messages:
                await connection.send(conn, message)
                sent += 1
        after = await receiver_cpu()
        wall = time.perf_counter() - start
        cpu = time.process_time() - cpu
        connection.close(conn)
    return sent, wall, cpu, after - before


async def measure_idle(cfg, port, seconds):
    """Return bytes/s and the CPU shares of both ends, per idle connection.

    Bytes count both directions; the CPU share of the dialing end comes first.
    `IDLE_CONNECTIONS` connections are open at once.
    """
    context = tls.client_context(cfg)
    cpu_us = anyio.create_memory_object_stream(1)

    async def on_message(conn, message):
        cpu_us[0].send_nowait(message.attempt_id)

    async with anyio.create_task_group() as tg:
        conns = []
        for _ in range(IDLE_CONNECTIONS):
            conns.append(await connection.dial(f"127.0.0.1:{port}", hello(), context))
            tg.start_soon(connection.run, conns[-1], on_message)

        async def sample():
            await connection.send(conns[0], ttypes.Revoke(attempt_id=1))
            acceptor_cpu_s = await cpu_us[1].receive() / 1e6
            total = sum(conn.bytes_sent + conn.bytes_received for conn in conns)
            return time.process_time(), acceptor_cpu_s, total

        await anyio.sleep(1)
        before = await sample()
        await anyio.sleep(seconds)
        after = await sample()
        tg.cancel_scope.cancel()
    dialer_cpu_s, acceptor_cpu_s, total = (
        b - a for a, b in zip(before, after, strict=True)
    )
    return [
        value / seconds / IDLE_CONNECTIONS
        for value in (total, dialer_cpu_s, acceptor_cpu_s)
    ]


@contextlib.contextmanager
def receiver(cfg):
    child = subprocess.Popen(
        [sys.executable, "-m", "bench.connection", "receive"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    child.stdin.write(json.dumps(attrs.asdict(cfg)) + "\n")
    child.stdin.flush()
    try:
        yield int(child.stdout.readline())
    finally:
        child.kill()
        child.wait()


def secure_cfg(folder):
    ca = trustme.CA()
    cert = ca.issue_cert("127.0.0.1")
    paths = [str(pathlib.Path(folder) / name) for name in ("cert", "key", "ca")]
    cert.cert_chain_pems[0].write_to_path(paths[0])
    cert.private_key_pem.write_to_path(paths[1])
    ca.cert_pem.write_to_path(paths[2])
    return Cfg(False, *paths)


def run(seconds):
    results = {}
    with tempfile.TemporaryDirectory() as folder:
        for security, cfg in (("plain", Cfg(True)), ("tls", secure_cfg(folder))):
            for name, (messages, per_message) in CASES.items():
                with receiver(cfg) as port:
                    figures = anyio.run(measure, cfg, port, messages, seconds)
                sent, wall, cpu, receiver_cpu = figures
                units = sent * per_message
                results[f"{name}, {security}"] = {
                    "per_s": round(units / wall),
                    "sender_us": round(cpu / units * 1e6, 1),
                    "receiver_us": round(receiver_cpu / units * 1e6, 1),
                }
    with receiver(Cfg(True)) as port:
        idle = anyio.run(measure_idle, Cfg(True), port, max(5.0, seconds))
    results[f"{IDLE_CONNECTIONS} idle, plain"] = {
        "bytes_per_s_each": round(idle[0], 1),
        "dialer_cpu_percent": round(idle[1] * IDLE_CONNECTIONS * 100, 2),
        "acceptor_cpu_percent": round(idle[2] * IDLE_CONNECTIONS * 100, 2),
    }
    print(f"{'case':32}{'per second':>12}{'sender us':>12}{'receiver us':>12}")
    for name, row in results.items():
        print(f"{name:32}" + "".join(f"{value:>12}" for value in row.values()))
    print(json.dumps({"bench": "connection", "results": results}))


if __name__ == "__main__":
    if sys.argv[1:] == ["receive"]:
        anyio.run(receive, Cfg(**json.loads(sys.stdin.readline())))
    else:
        run(float(sys.argv[1]) if sys.argv[1:] else 3.0)
