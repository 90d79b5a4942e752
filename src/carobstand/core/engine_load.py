"""Fresh loads of engines, as their agents report them."""

import attrs

from carobstand.core import registry

FRESH_S = 1.2
"""Age up to which a report counts; two datagrams may be lost in a row."""


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Report of one engine; `heard_at` is this process's time.

    `loads_at` is the time at which it will be ordered to load weights, None if it is
    not known to come.
    """

    address: str
    started_ms: int
    number: int
    running: int
    waiting: int
    slowness: float
    is_busy: bool
    holding: registry.Holding | None
    heard_at: float
    loads_at: float | None = None


@attrs.define(eq=False)
class EngineLoads:
    """Newest report of each engine, by its address."""

    by_address: dict = attrs.field(factory=dict)


def put(loads, load):
    """Record a report; return False for one that came late."""
    known = loads.by_address.get(load.address)
    if known is not None and known.number >= load.number:
        return False
    loads.by_address[load.address] = load
    return True


def fresh(loads, registration, now):
    """Return the newest report of a registered engine, or None if it is too old."""
    load = loads.by_address.get(registration.address)
    if load is None or now - load.heard_at > FRESH_S:
        return None
    if registration.started_ms and load.started_ms != registration.started_ms:
        return None
    return load


def note_answer(loads, registration, running, waiting, now):
    """Record what an engine told of its load with an answer.

    It is as fresh as a report; the rest of the last report stays.
    """
    known = fresh(loads, registration, now)
    if known is not None:
        loads.by_address[registration.address] = attrs.evolve(
            known, running=running, waiting=waiting, heard_at=now
        )
