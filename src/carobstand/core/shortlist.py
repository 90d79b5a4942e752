"""Shortlist of the servers that are ranked for a waiting request.

Load pattern: overload with many servers. Ranking every server for every waiting request
would cost the number of servers times the number of requests. All servers are therefore
ranked only at intervals; in between, only the previously best servers and those whose
state has changed are ranked.
"""

import attrs

FULL_RANKING_INTERVAL_S = 0.05
"""Interval at which all servers are ranked."""

BEST_COUNT = 8
"""Number of best servers on the shortlist. If there are fewer than twice as many
servers, all are ranked each time."""

MAX_CHANGED = 16
"""Maximum number of changed servers to rank in addition; with more, all are ranked."""


@attrs.define(eq=False)
class Shortlist:
    """Shortlisted servers of one service.

    Attributes
    ----------
    best : list of str
        Ids of the best servers of the last full ranking.
    ranked_at : float
        Time of the last full ranking.
    changed_ids : set of str
        Ids of servers that may have more free slots since then.
    """

    best: list = attrs.field(factory=list)
    ranked_at: float = -1e9
    changed_ids: set = attrs.field(factory=set)


def ids_to_rank(state, servers, now):
    """Return the ids of the servers to rank now, or None for all.

    Parameters
    ----------
    state : Shortlist
    servers : int
        Number of known servers.
    now : float
    """
    if servers < 2 * BEST_COUNT or len(state.changed_ids) > MAX_CHANGED:
        return None
    if now - state.ranked_at >= FULL_RANKING_INTERVAL_S or not state.best:
        return None
    return state.changed_ids.union(state.best)


def record_full_ranking(state, ranked, now):
    """Record a full ranking: the ids of all servers, best first."""
    state.best = ranked[:BEST_COUNT]
    state.ranked_at = now
    state.changed_ids.clear()


def mark_changed(state, server_id):
    """Record that a server may have more free slots than at the last full ranking."""
    state.changed_ids.add(server_id)
