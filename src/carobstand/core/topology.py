"""Which processes hold connections to each other, by rendezvous hashing."""

from carobstand.core import ranks

FULL_MESH_ENTRIES = 8
"""Entries up to which every agent connects to every entry."""

ENTRIES_PER_AGENT = 6
"""Entries that an agent connects to above `FULL_MESH_ENTRIES`."""

ENTRY_NEIGHBOURS = 6
"""Entries that an entry dials above `FULL_MESH_ENTRIES`; others dial it."""


def rank(key, names):
    """Return `names` in rendezvous order for `key`.

    Every process that knows the same names computes the same order, and a name that
    comes or goes moves no other.

    Parameters
    ----------
    key : str
    names : iterable of str

    Returns
    -------
    ranked : list of str
    """
    return sorted(names, key=lambda name: (ranks.score(key, name), name))


def entries_of_agent(agent, entries):
    """Return the entries that `agent` connects to.

    Parameters
    ----------
    agent : str
        VM of the agent.
    entries : iterable of str
        VMs of live entries.

    Returns
    -------
    chosen : list of str
    """
    ranked = rank(agent, entries)
    if len(ranked) <= FULL_MESH_ENTRIES:
        return ranked
    return ranked[:ENTRIES_PER_AGENT]


def entries_to_dial(own, entries):
    """Return the entries that the entry `own` dials.

    In a small set one entry of each pair dials. In a large one each entry dials its
    successor in name order, which connects all of them, and a few more by rendezvous
    order, which shortens the paths.

    Parameters
    ----------
    own : str
    entries : iterable of str
        VMs of live entries; may contain `own`.

    Returns
    -------
    chosen : list of str
    """
    others = sorted(set(entries) - {own})
    if len(others) < FULL_MESH_ENTRIES:
        return [name for name in others if name > own]
    successor = next((name for name in others if name > own), others[0])
    ranked = [name for name in rank(own, others) if name != successor]
    return [successor, *ranked[: ENTRY_NEIGHBOURS - 1]]
