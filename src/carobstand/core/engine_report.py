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
    held_tokens, memory_tokens : int or None
        Tokens of the requests that it holds in its memory, and those that fit; None if
        not known. Reports that differ only in these are equal: they change with each
        event of an answer, and no poll or report is due for that.
    """

    holding: registry.Holding | None = None
    is_busy: bool = False
    orders: int = 0
    running: int = 0
    waiting: int = 0
    started_ms: int = 0
    slowness: float = 1.0
    held_tokens: int | None = attrs.field(default=None, eq=False)
    memory_tokens: int | None = attrs.field(default=None, eq=False)
