"""Responses shared by several stand-ins."""

import json

from carobstand import http1_server


async def send_json(reply, record, status=200, headers=()):
    """Send `record` as a JSON response."""
    all_headers = [(b"Content-Type", b"application/json"), *headers]
    await http1_server.respond(reply, status, all_headers, json.dumps(record).encode())
