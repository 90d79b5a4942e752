"""Where each process receives a version of the weights from.

One entry, near the origin, draws from it; one entry of each region receives from that
one; the others and the agents receive within their region. Everybody computes the same
order by rendezvous hashing over the entries that are registered.
"""

import attrs

from carobstand.core import ranks


@attrs.frozen
class Entry:
    """An entry that may hold weights; `address` is ``host:port``.

    `link_bytes_per_s` is the rate of its VM's link, 0 if it is not known.
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    link_bytes_per_s: float = 0.0


def entry_of(dep):
    """Return the `Entry` that a process of a `core.deployment.Deployment` is."""
    return Entry(
        vm=dep.vm,
        address=f"{dep.ip}:{dep.internal_ports[0]}",
        failure_domain=dep.failure_domain,
        region=dep.region,
        link_bytes_per_s=dep.link_bytes_per_s,
    )


def _ranked(entries, key):
    """Return entries by their links, the widest first, and by rank where those equal.

    A narrow link could not feed the agents of its region.
    """

    def order(entry):
        return -entry.link_bytes_per_s, ranks.score(key, entry.vm)

    return sorted(entries, key=order)


def copy_key(model, version):
    """Return the key by which sources of a version are ranked."""
    return f"{model}/{version}"


def drawers(entries, key, origin_domain, origin_region):
    """Return the entries in the order in which they draw from the origin.

    Those in the origin's failure domain come first, then those of its region.
    """

    def distance(entry):
        if entry.failure_domain == origin_domain:
            return 0
        return 1 if entry.region == origin_region else 2

    return sorted(_ranked(entries, key), key=distance)


def regional(entries, key, region):
    """Return the entries of a region in the order in which they hold its copy."""
    return _ranked([entry for entry in entries if entry.region == region], key)


def sources_of_agent(vm, region, entries, key, spread):
    """Return the entries from which an agent receives, best first.

    Parameters
    ----------
    vm, region : str
    entries : list of Entry
    key : str
    spread : int
        Entries of the region among which its agents are spread.
    """
    own = regional(entries, key, region)
    near = sorted(own[:spread], key=lambda entry: ranks.score(vm, entry.vm))
    found = near + own[spread:]
    return found + [entry for entry in _ranked(entries, key) if entry not in found]
