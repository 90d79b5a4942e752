"""State that a model engine reports about itself."""

import attrs

from carobstand.core import registry


@attrs.frozen(kw_only=True)
class EngineReport:
    """State of one engine.

    Attributes
    ----------
    holding : core.registry.Holding or None
        Weights that the engine serves.
    is_busy : bool
        Whether the engine is executing an order.
    orders : int
        Number of orders accepted since its start.
    running, waiting : int
        Number of requests in its batch and in its queue.
    started_ms : int
        Start time in Unix milliseconds, 0 if not known.
    slowness : float
        Ratio of its actual to its published processing time; above 1 if it is slower.
    """

    holding: registry.Holding | None = None
    is_busy: bool = False
    orders: int = 0
    running: int = 0
    waiting: int = 0
    started_ms: int = 0
    slowness: float = 1.0
