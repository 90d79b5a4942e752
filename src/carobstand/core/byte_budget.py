"""Bound of the bytes that one process holds for callers and backend servers.

Load pattern: hundreds of callers that read their responses, or send their requests,
slowly or not at all, while backend servers go on answering. Each message is bounded by
itself, but the sum of a few hundred large ones exceeds the memory of a small VM.
"""

import attrs

MEMORY_SHARE = 0.15
"""Share of the VM's memory for bodies. The interpreter and the state of the deployment
take about half of the smallest VM."""

UNLIMITED_BYTES = 1 << 40
"""Budget if the memory of the VM is not known."""


@attrs.define(eq=False)
class ByteBudget:
    """Bytes that may be held, and those that are.

    Attributes
    ----------
    limit : int
    used : int
    refused : int
        Number of reservations that did not fit.
    """

    limit: int = UNLIMITED_BYTES
    used: int = 0
    refused: int = 0


def of_memory(memory_bytes):
    """Return the limit for a VM with `memory_bytes` of memory, 0 if not known."""
    return int(memory_bytes * MEMORY_SHARE) or UNLIMITED_BYTES


def reserve(budget, size):
    """Reserve `size` bytes; return False, reserving none, if they do not fit."""
    if budget.used + size > budget.limit:
        budget.refused += 1
        return False
    budget.used += size
    return True


def release(budget, size):
    """Return reserved bytes to the budget."""
    budget.used -= size
