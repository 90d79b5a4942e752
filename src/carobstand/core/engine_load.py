"""Latest load of servers, as sent by the agents of engines and told in responses.

Load pattern: servers that share machines slow down for a fraction of a second at a
time, so that an observation of their speed is worth little after that.
"""

import attrs

from carobstand.core import registry

MAX_REPORT_AGE_S = 1.2
"""Maximum age of a usable report; allows for two consecutive lost datagrams."""


SLOW_PERIOD_S = 0.6
"""Duration of a slow period of a server (docs/hard-load.md). A response that shows one
falls at a random moment in it, so the expected excess shrinks linearly to 0."""

MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 100.0
"""Range of a usable slowness; a value outside would make predicted times useless."""


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Load report of one engine.

    `number` increases with each report. `received_at` is the time of receipt on this
    process's clock, of the report or of a later response that updated its requests.
    `reported_at` is the time of receipt of the report itself. `next_load_at` is the
    time of the engine's next scheduled load of weights, None if none is known.

    `held_tokens` is the number of tokens of all requests in the engine's memory at
    `reported_at`, None if not known.

    `agent_host` is the IP address of its agent. The agent holds `receiving_pieces` of
    `receiving_version`, and complete copies of the versions in `copies`.
    """

    address: str
    started_ms: int
    number: int
    running: int
    waiting: int
    slowness: float
    is_busy: bool
    holding: registry.Holding | None
    received_at: float
    next_load_at: float | None = None
    agent_host: str = ""
    receiving_version: int | None = None
    receiving_pieces: int = 0
    copies: tuple = ()
    held_tokens: int | None = None
    reported_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.received_at, takes_self=True)
    )


@attrs.define(eq=False)
class EngineLoads:
    """Latest report of each engine, and slowness told in responses, by address.

    Attributes
    ----------
    by_address : dict of str to EngineLoad
    told : dict of str to (float, float)
        Slowness in the latest response of a server that tells it, and its time.
    pruned_at : float
        Time at which outdated items of `told` were last removed.
    """

    by_address: dict = attrs.field(factory=dict)
    told: dict = attrs.field(factory=dict)
    pruned_at: float = 0.0


def put(loads, load):
    """Store a report; return False if it is not newer than the stored one."""
    current = loads.by_address.get(load.address)
    if current is not None and current.number >= load.number:
        return False
    loads.by_address[load.address] = load
    return True


def fresh_load(loads, registration, now):
    """Return the latest report of a registered engine.

    Returns None if there is none, or if it is stale or of another engine start.
    """
    load = loads.by_address.get(registration.address)
    if load is None or now - load.received_at > MAX_REPORT_AGE_S:
        return None
    if registration.started_ms and load.started_ms != registration.started_ms:
        return None
    return load


def held_pieces(load, version, pieces):
    """Return how many of the pieces of a version the engine's agent holds."""
    if version in load.copies:
        return pieces
    return load.receiving_pieces if load.receiving_version == version else 0


def usable_slowness(value):
    """Return a slowness within its range; 1.0 if none is given or it is no number."""
    if not value or value != value:
        return 1.0
    return max(MIN_SLOWNESS, min(MAX_SLOWNESS, float(value)))


def note_slowness(loads, address, slowness, now):
    """Store the slowness that a server tells in a response."""
    loads.told[address] = (usable_slowness(slowness), now)
    if now - loads.pruned_at > SLOW_PERIOD_S:
        loads.pruned_at = now
        oldest = now - SLOW_PERIOD_S
        loads.told = {key: item for key, item in loads.told.items() if item[1] > oldest}


def slowness(loads, address, load, now):
    """Return the expected ratio of the present to the usual time for a unit of work.

    A response that is newer than the report decides; its figure expires to the one of
    the report, or to 1.0 without a report.

    Parameters
    ----------
    loads : EngineLoads
    address : str
    load : EngineLoad or None
        Fresh report of the server.
    now : float
    """
    reported = load.slowness if load is not None else 1.0
    told = loads.told.get(address)
    if told is None or (load is not None and load.reported_at >= told[1]):
        return reported
    left = 1.0 - (now - told[1]) / SLOW_PERIOD_S
    return reported + (told[0] - reported) * left if left > 0 else reported


def update_from_answer(loads, registration, running, waiting, now):
    """Update the load of an engine from the headers of its response.

    The report is then as fresh as a new one; its other fields stay. Without a usable
    report nothing is stored.
    """
    current = fresh_load(loads, registration, now)
    if current is not None:
        loads.by_address[registration.address] = attrs.evolve(
            current, running=running, waiting=waiting, received_at=now
        )
