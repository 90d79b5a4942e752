"""Readiness check, by which the platform decides to send connections here."""

from carobstand import http1_server


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
        good = is_ready(state) and not is_leaving()
        status = 200 if good else 503
        await http1_server.respond(reply, status, [])

    return http1_server.Server(http1_server.Limits, handle)
