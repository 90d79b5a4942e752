"""Latest load reports of engines, as sent by their agents."""

import attrs

from carobstand.core import registry

MAX_REPORT_AGE_S = 1.2
"""Maximum age of a usable report; allows for two consecutive lost datagrams."""


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Load report of one engine.

    `number` increases with each report. `received_at` is the time of receipt on this
    process's clock. `next_load_at` is the time of the engine's next scheduled load of
    weights, None if none is known.

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


@attrs.define(eq=False)
class EngineLoads:
    """Latest report of each engine, by address."""

    by_address: dict = attrs.field(factory=dict)


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
