"""Readiness check, by which the platform decides to send connections here.

The same address serves the metrics of the process.
"""

from carobstand import http1_server, metrics

METRICS_TARGET = b"/metrics"
"""Target at which the metrics of the process are read, as text."""

MAX_CONNECTIONS = 32
"""Connections at a time. The platform checks once a second, and reads the metrics every
5 s while an incident is examined."""

TEXT_HEADERS = [(b"Content-Type", b"text/plain; version=0.0.4")]


def is_ready(state):
    """Return whether the configuration and some servers are known."""
    return state.configuration is not None and bool(state.servers.servers)


def server(state, is_leaving):
    """Return the `http1_server.Server` of the readiness check.

    Parameters
    ----------
    state : entry.fleet.Fleet
    is_leaving : callable without arguments
        Whether the process is about to stop.
    """

    async def handle(request, reply):
        if request.target == METRICS_TARGET:
            text = metrics.render(state.metrics).encode()
            return await http1_server.respond(reply, 200, TEXT_HEADERS, text)
        good = is_ready(state) and not is_leaving()
        status = 200 if good else 503
        await http1_server.respond(reply, status, [])

    return http1_server.Server(
        http1_server.Limits, handle, max_connections=MAX_CONNECTIONS
    )
