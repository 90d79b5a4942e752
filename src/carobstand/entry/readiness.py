"""Whether the platform may send new connections to this entry."""

from carobstand import http1_server


def is_ready(state):
    """Whether callers are served here: the configuration and servers are known."""
    return state.configuration is not None and bool(state.servers.servers)


def server(state, is_leaving):
    """Return the server of the platform's question.

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
