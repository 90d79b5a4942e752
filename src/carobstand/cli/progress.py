"""Progress of weight distribution per service, version and failure domain.

The data are the replicas in the agents' heartbeats.
"""

import attrs

MB = 1_000_000


@attrs.define
class Progress:
    """Replicas of one version in one failure domain.

    Attributes
    ----------
    phases : dict of str to int
        Number of replicas by phase.
    verified, total, origin : int
        Bytes verified, bytes to verify and bytes downloaded from the origin, summed
        over all replicas.
    replica_bytes : int
        Bytes of one copy.
    refusals : set of str
        Reasons of agents for refusing the version.
    """

    phases: dict = attrs.field(factory=dict)
    verified: int = 0
    total: int = 0
    origin: int = 0
    replica_bytes: int = 0
    refusals: set = attrs.field(factory=set)


def collect(bodies):
    """Return a `Progress` by (service, version, failure domain).

    An agent reported by several entries counts once, with the report that has the most
    verified bytes.

    Parameters
    ----------
    bodies : list of dict
        Responses of the entries' status ports.
    """
    agents = {}
    for body in bodies:
        for vm, agent in body.get("agents", {}).items():
            known = agents.get(vm)
            if known is None or _verified(agent) > _verified(known):
                agents[vm] = agent
    found = {}
    for agent in agents.values():
        for replica in agent.get("replicas", ()):
            key = (replica["service"], replica["version"], agent["failure_domain"])
            _add(found.setdefault(key, Progress()), replica)
    return found


def _verified(agent):
    replicas = agent.get("replicas", ())
    served = sum(replica["phase"] == "serving" for replica in replicas)
    return sum(r["bytes_verified"] or 0 for r in replicas), served


def _add(progress, replica):
    phase = replica["phase"]
    progress.phases[phase] = progress.phases.get(phase, 0) + 1
    progress.verified += replica["bytes_verified"] or 0
    progress.total += replica["bytes_total"] or 0
    progress.origin += replica["origin_bytes"] or 0
    progress.replica_bytes = max(progress.replica_bytes, replica["bytes_total"] or 0)
    if phase == "refused" and replica.get("detail"):
        progress.refusals.add(replica["detail"])


def lines(found, earlier=None, seconds=0.0):
    """Return a summary line per version, followed by one per failure domain.

    Parameters
    ----------
    found, earlier : dict
        Two results of `collect`; without `earlier` there is no rate.
    seconds : float
        Time between them.
    """
    result = []
    by_version = {}
    for (service, version, _), progress in found.items():
        _merge(by_version.setdefault((service, version), Progress()), progress)
    before = {}
    for (service, version, _), progress in (earlier or {}).items():
        _merge(before.setdefault((service, version), Progress()), progress)
    for key in sorted(by_version):
        text = _describe(by_version[key], before.get(key), seconds)
        result.append(f"{key[0]} {key[1]}: {text}")
        for service, version, domain in sorted(found):
            if (service, version) == key:
                old = (earlier or {}).get((service, version, domain))
                text = _describe(found[service, version, domain], old, seconds)
                result.append(f"  {domain}: {text}")
    return result


def _merge(into, progress):
    for phase, count in progress.phases.items():
        into.phases[phase] = into.phases.get(phase, 0) + count
    into.verified += progress.verified
    into.total += progress.total
    into.origin += progress.origin
    into.replica_bytes = max(into.replica_bytes, progress.replica_bytes)
    into.refusals |= progress.refusals


def _describe(progress, earlier, seconds):
    count = sum(progress.phases.values())
    parts = [f"{progress.phases.get('serving', 0)} of {count} replicas serve"]
    others = {k: v for k, v in progress.phases.items() if k != "serving"}
    if others:
        parts.append(", ".join(f"{n} {phase}" for phase, n in sorted(others.items())))
    if progress.total:
        parts.append(f"{progress.verified / progress.total:.0%} verified")
    missing = progress.total - progress.verified
    if earlier is not None and seconds > 0 and missing > 0:
        rate = max(0, progress.verified - earlier.verified) / seconds
        parts.append(f"{rate / MB:.1f} MB/s")
        parts.append(f"done in {missing / rate:.0f} s" if rate else "no progress")
    if progress.origin and progress.replica_bytes:
        copies = progress.origin / progress.replica_bytes
        parts.append(f"origin {progress.origin / MB:.1f} MB ({copies:.2f} copies)")
    parts.extend(sorted(progress.refusals))
    return "; ".join(parts)


def is_fetching(found):
    """Return whether any replica is still being fetched."""
    return any("fetching" in progress.phases for progress in found.values())
