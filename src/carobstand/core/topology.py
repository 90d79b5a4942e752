"""Choice of connections between processes, by rendezvous hashing."""

from carobstand.core import rendezvous

FULL_MESH_ENTRIES = 8
"""Largest number of entries for which every agent connects to every entry."""

ENTRIES_PER_AGENT = 6
"""Entries that an agent connects to if there are more than `FULL_MESH_ENTRIES`."""

ENTRY_NEIGHBOURS = 6
"""Entries that an entry dials if it has at least `FULL_MESH_ENTRIES` others; further
entries dial it."""


def rank(key, names):
    """Return `names` in rendezvous order for `key`.

    Every process with the same names computes the same order, and adding or removing a
    name does not change the order of the others.

    Parameters
    ----------
    key : str
    names : iterable of str

    Returns
    -------
    ranked : list of str
    """
    return sorted(names, key=lambda name: (rendezvous.score(key, name), name))


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

    With few entries, one entry of each pair dials, which makes a full mesh. With many,
    each entry dials its successor in name order, which makes the graph connected, and a
    few more in rendezvous order, which shortens the paths.

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
