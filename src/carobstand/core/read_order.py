"""Which entry of a region reads the configuration from the store at a common start.

Load pattern: all processes of a region start at the same moment, after a loss of power,
and the configuration is large for the region's link. The first entry in a rendezvous
order reads it at once; each next one waits a step longer for another entry to have it
before it reads the store itself, so that the link carries it once in the normal case
and a few times if entries are gone.
"""

import attrs

from carobstand.core import weight_sources

RANKING_KEY = "configuration"
"""Rendezvous hashing key by which the entries of a region are ranked."""

STEP_S = 1.5
"""Time per rank to wait for the configuration from another entry. A read over the link
of a region takes 0.3 s if nothing else uses it."""

MAX_WAIT_S = 6.0
"""Longest such wait: recovery may take 12 to 15 s in all."""

SETTLE_S = 0.3
"""Time for which an entry that knows no other one waits for others to register before
it makes its plan. Processes that start together register within some round trips to the
store."""


def settle_s(entries, me, retry_s):
    """Return the time to wait before `plan`, as other entries may yet register.

    Parameters
    ----------
    entries : iterable of core.weight_sources.Entry
        All registered entries. Their records have expired if the store or the region
        was down for longer than their leases.
    me : core.weight_sources.Entry
    retry_s : float
        Interval at which entries try to register after the store was down; 0 if it was
        not. Some of them may have registered already, so others that are known do not
        end the wait.
    """
    is_alone = all(item.vm == me.vm for item in entries)
    return SETTLE_S + retry_s if is_alone or retry_s else 0.0


@attrs.frozen
class Plan:
    """How an entry obtains the configuration at its start.

    Attributes
    ----------
    wait_s : float
        Time for which others are asked repeatedly before the store is read; 0 for the
        first in the order, which asks once.
    others : list of core.weight_sources.Entry
        Other entries of the region, the ones that have it first in front.
    """

    wait_s: float
    others: list


def plan(entries, me):
    """Return the `Plan` of an entry.

    Parameters
    ----------
    entries : iterable of core.weight_sources.Entry
        All registered entries; they may be gone.
    me : core.weight_sources.Entry
    """
    others = [entry for entry in entries if entry.vm != me.vm]
    ranked = weight_sources.ranked_in_region([me, *others], RANKING_KEY, me.region)
    rank = ranked.index(me)
    near = [entry for entry in ranked if entry.vm != me.vm]
    return Plan(min(MAX_WAIT_S, STEP_S * rank), near)
