"""Work that a server has left: prompt tokens to read and answer tokens to write.

Load pattern: requests that look alike differ in size by a factor of ten, and a report
tells only their number. The work of an entry's own requests follows from their expected
lengths and the events that arrived; that of the others is estimated from the report.
"""

import attrs

OVERRUN_SHARE = 0.25
"""Expected remainder of an answer that is longer than expected, as a share of what was
written of it."""

MIN_WRITE_RATIO, MAX_WRITE_RATIO = 0.5, 2.0
"""Range of the work left per request relative to the usual one; the requests of other
entries are estimates, and more extreme values come from their errors."""


@attrs.define(eq=False)
class Item:
    """Work left of one request of this entry.

    Attributes
    ----------
    to_read : int
        Prompt tokens that are not read yet.
    expected : float
        Expected length of the answer in tokens.
    prompt_tokens, written : int
        Size of the prompt, and answer tokens that have arrived.
    """

    to_read: int
    expected: float
    prompt_tokens: int = 0
    written: int = 0


@attrs.define(eq=False)
class Work:
    """Work left of this entry's requests at one server.

    Attributes
    ----------
    items : dict of object to Item
    to_read, to_write : float
        Sums over the items, kept so that a ranking need not add them up.
    """

    items: dict = attrs.field(factory=dict)
    to_read: int = 0
    to_write: float = 0.0


def remaining_tokens(expected, written):
    """Return the expected remainder of an answer with `written` tokens so far."""
    return max(expected - written, OVERRUN_SHARE * written)


def begin(work, token, prompt_tokens, answer_tokens):
    """Add a request that was sent."""
    work.items[token] = Item(prompt_tokens, answer_tokens, prompt_tokens)
    work.to_read += prompt_tokens
    work.to_write += answer_tokens


def record_read(work, token):
    """Record that a server has read the prompt of a request."""
    item = work.items.get(token)
    if item is not None:
        work.to_read -= item.to_read
        item.to_read = 0


def record_written(work, token, tokens):
    """Record that `tokens` more of the answer to a request have arrived."""
    item = work.items.get(token)
    if item is not None:
        work.to_write -= remaining_tokens(item.expected, item.written)
        item.written += tokens
        work.to_write += remaining_tokens(item.expected, item.written)


def end(work, token):
    """Remove a request that ended."""
    record_read(work, token)
    item = work.items.pop(token, None)
    if item is not None:
        work.to_write -= remaining_tokens(item.expected, item.written)
    if not work.items:
        # Removes what rounding has left.
        work.to_write = 0.0


def write_ratio(work, occupancy, usual_tokens):
    """Return the answer tokens left per request, relative to the usual number.

    Lengths vary so much that a running request of another entry is expected to have as
    many tokens left as a new one.

    Parameters
    ----------
    work : Work
    occupancy : float
        Requests at the server, this entry's included.
    usual_tokens : int
        Answer tokens of a usual request.
    """
    own = len(work.items)
    if not own or not usual_tokens:
        return 1.0
    all_requests = max(own, occupancy)
    left = work.to_write / usual_tokens + all_requests - own
    return max(MIN_WRITE_RATIO, min(MAX_WRITE_RATIO, left / all_requests))
