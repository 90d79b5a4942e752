"""Sources from which each process fetches a version of the weights.

One entry near the origin downloads from it; one entry of each region fetches from that
entry; the other entries and the agents fetch within their region. All processes compute
the same order by rendezvous hashing over the registered entries.
"""

import attrs

from carobstand.core import rendezvous


@attrs.frozen
class Entry:
    """An entry that may cache weights; `address` is ``host:port``.

    `link_bytes_per_s` is the rate of its VM's link, 0 if unknown.
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    link_bytes_per_s: float = 0.0


def entry_from_deployment(dep):
    """Return the `Entry` of a process from its `core.deployment.Deployment`."""
    return Entry(
        vm=dep.vm,
        address=f"{dep.ip}:{dep.internal_ports[0]}",
        failure_domain=dep.failure_domain,
        region=dep.region,
        link_bytes_per_s=dep.link_bytes_per_s,
    )


def _ranked(entries, key):
    """Return entries by descending link rate, equal ones by rendezvous hash.

    A slow link could not supply the agents of its region.
    """

    def order(entry):
        return -entry.link_bytes_per_s, rendezvous.score(key, entry.vm)

    return sorted(entries, key=order)


def copy_key(model):
    """Return the rendezvous hash key that ranks the sources of a model's copies.

    It is the same for all versions: one entry downloads each of them, and so completes
    one that is being received before it begins a newer one.
    """
    return f"{model}/weights"


def seeders(entries, key, origin_domain, origin_region):
    """Return the entries in the order in which they download from the origin.

    Entries in the origin's failure domain come first, then those in its region.
    """

    def distance(entry):
        if entry.failure_domain == origin_domain:
            return 0
        return 1 if entry.region == origin_region else 2

    return sorted(_ranked(entries, key), key=distance)


def ranked_in_region(entries, key, region):
    """Return the entries of a region in the order in which they cache its copy."""
    return _ranked([entry for entry in entries if entry.region == region], key)


def sources_of_agent(vm, region, entries, key, spread):
    """Return the entries from which an agent fetches weights, preferred first.

    Parameters
    ----------
    vm, region : str
    entries : list of Entry
    key : str
    spread : int
        Number of entries of the region over which its agents are distributed. If those
        fail, the agents are distributed over as many others: the link of a single one
        is too narrow for all of them.
    """
    own = ranked_in_region(entries, key, region)
    ordered = []
    for start in range(0, len(own), spread):
        group = own[start : start + spread]
        ordered += sorted(group, key=lambda entry: rendezvous.score(vm, entry.vm))
    return ordered + [entry for entry in _ranked(entries, key) if entry not in ordered]
