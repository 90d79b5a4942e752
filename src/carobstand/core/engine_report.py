"""What a model engine says of itself."""

import attrs

from carobstand.core import registry


@attrs.frozen(kw_only=True)
class EngineReport:
    """State of one engine.

    Attributes
    ----------
    holding : core.registry.Holding or None
        Weights that it serves.
    is_busy : bool
        Whether an order is in progress.
    orders : int
        Orders accepted since its start.
    running, waiting : int
        Requests in its batch and in its queue.
    started_ms : int
        Unix milliseconds of its start, 0 if not known.
    slowness : float
        Over 1 for an engine that works more slowly than published.
    """

    holding: registry.Holding | None = None
    is_busy: bool = False
    orders: int = 0
    running: int = 0
    waiting: int = 0
    started_ms: int = 0
    slowness: float = 1.0
