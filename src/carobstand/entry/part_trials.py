"""Trials of suspected prompt parts, one at a time at all entries together.

An entry announces a trial to the others and waits a moment before it sends the request.
Of two that were announced at the same time, the one of the entry that comes first in
the rendezvous order of the part takes place.
"""

import anyio
import attrs

from carobstand import eventlog
from carobstand.core import part_trials
from carobstand.entry import part_evidence

ANNOUNCED_S = 0.05
"""Time between the announcement of a trial and its request; a datagram between regions
takes a few ms."""


@attrs.define
class CallTrial:
    """The part that a request plays as a trial.

    Attributes
    ----------
    tried : tuple of bytes
        Parts that it settles.
    began_at : float
    is_sent : bool
    """

    tried: tuple
    began_at: float
    is_sent: bool = False


def is_trial(fwd, call, parts):
    """Whether a request is the current trial of all its convicted parts."""
    if call.trial is None:
        return False
    vm = fwd.fleet.deployment.vm
    return part_trials.is_own(fwd.fleet.prompt_parts, parts, call.trial.tried, vm)


def begin(fwd, call, parts):
    """Make a request the trial of its convicted parts, if one is due.

    A request that was lost at a crash is none: it may crash servers by itself.

    Returns
    -------
    is_begun : bool
    """
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    sample = fwd.part_tracker.recent
    if call.lost is not None or not part_trials.is_due(state, parts, sample, now):
        return False
    end(fwd, call)
    tried = part_trials.begin(state, parts, fwd.fleet.deployment.vm, now)
    call.trial = CallTrial(tried, now)
    part_evidence.spread(fwd, tried)
    return True


async def settle(call):
    """Wait until the other entries know of the trial that a request is."""
    if call.trial is not None and not call.trial.is_sent:
        await anyio.sleep_until(call.trial.began_at + ANNOUNCED_S)


def record_sent(fwd, call, server):
    """Record that a request is sent to a server, if it is a trial."""
    if call.trial is None:
        return
    call.trial.is_sent = True
    part_trials.record_sent(fwd.fleet.prompt_parts, call.trial.tried)
    eventlog.event(
        "part.tried",
        request=call.req.request_id,
        server=server.server_id,
        parts=[part.hex() for part in call.trial.tried],
    )


def end(fwd, call):
    """End the trial that a request is, and tell the others."""
    if call.trial is None:
        return
    tried, call.trial = call.trial.tried, None
    vm, now = fwd.fleet.deployment.vm, anyio.current_time()
    ended = part_trials.end(fwd.fleet.prompt_parts, tried, vm, now)
    if ended:
        part_evidence.spread(fwd, ended, ended=True)
