# ruff: noqa: D101,D102,D103
"""Clients that press: many connections, requests sent ahead, answers left unread.

Usage: pressing_clients.py HOST PORT CONNECTIONS REQUESTS PARTS SECONDS SEED

Each connection sends REQUESTS streaming requests ahead, every one a proper request with
a head of less than 16,000 bytes, and reads nothing. A connection that the system closes
is opened again after a second. PARTS is the number of parts in `Prompt-Prefix`.
"""

import random
import select
import socket
import sys
import time

HEAD_BYTES = 16_000
"""Below `max_header_bytes` (16,384)."""

LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
IDS = [a + b + c for a in LETTERS for b in LETTERS for c in LETTERS]
REOPEN_S = 1.0


def request(request_id, prompt):
    """Return a proper streaming request; `prompt` is the list of its parts."""
    lines = [
        "POST /s/x HTTP/1.1",
        "Host: one.example",
        f"Request-Id: {request_id}",
        "Deadline-Ms: 6000",
        "Api-Key: k1key",
        "Model: m1",
        "Token-Usage: 600,80",
        f"Prompt-Prefix: {prompt}",
        "Content-Length: 20",
        "",
        "",
    ]
    raw = "\r\n".join(lines).encode()
    assert len(raw) < HEAD_BYTES
    return raw + b"x" * 20


def main():
    host, port = sys.argv[1], int(sys.argv[2])
    connections, requests, parts = (int(word) for word in sys.argv[3:6])
    until, seed = time.monotonic() + float(sys.argv[6]), int(sys.argv[7])
    random.seed(seed)
    poll, unsent, by_number, reopen_at = select.poll(), {}, {}, []
    opened = 0

    def open_one():
        nonlocal opened
        opened += 1
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.setblocking(False)
        raw.connect_ex((host, port))
        ids = [f"{seed}x{opened}x{number}" for number in range(requests)]
        prompt = ",".join(random.sample(IDS, parts))
        unsent[raw] = b"".join(request(name, prompt) for name in ids)
        by_number[raw.fileno()] = raw
        poll.register(raw, select.POLLOUT | select.POLLRDHUP)

    def close(raw):
        poll.unregister(raw)
        del unsent[raw], by_number[raw.fileno()]
        raw.close()
        reopen_at.append(time.monotonic() + REOPEN_S)

    for _ in range(connections):
        open_one()
    while time.monotonic() < until:
        while reopen_at and reopen_at[0] <= time.monotonic():
            del reopen_at[0]
            open_one()
        for number, events in poll.poll(50):
            raw = by_number[number]
            if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                close(raw)
                continue
            try:
                unsent[raw] = unsent[raw][raw.send(unsent[raw][:65536]) :]
                if not unsent[raw]:
                    poll.modify(raw, select.POLLRDHUP)
            except BlockingIOError:
                continue
            except OSError:
                close(raw)
        time.sleep(0.01)
    print(f"opened {opened} connections to {host}:{port}")


main()
