"""Choice of the backend server that gets a request."""

import attrs

from carobstand.core import (
    announcements,
    calibration,
    engine_load,
    health,
    outstanding,
    pace,
)

REGION_PENALTY_S = 0.03
"""An answer from another region must be earlier by this to be worth its costly way."""

DOMAIN_PENALTY_S = 0.008
"""The same for another failure domain of the region."""

NOISE_PASSES = 0.5
"""Random part of a prediction, in passes, so that entries that see the same reports do
not all choose the same engine."""

FAR_SHARE = 0.3
"""Part of its requests that an entry sends to another region, against its own."""

PLAIN_REQUEST_S = 0.05
"""Time of a request at a server that publishes no pace."""


@attrs.frozen
class Candidate:
    """A backend server that may run a request.

    Attributes
    ----------
    server : core.registry.Registration
    holding : core.registry.Holding or None
        Weights as its newest report tells them.
    load : core.engine_load.EngineLoad or None
        Fresh report, if there is one.
    """

    server: object
    holding: object
    load: object


@attrs.frozen
class Choice:
    """A candidate and when it would answer.

    `first_event_s` is the predicted time to the first byte at the server.
    """

    candidate: Candidate
    first_event_s: float
    wait_s: float
    occupancy: float
    cost_s: float


def candidates(servers, loads, healths, said, service, excluded, now):
    """Return the `Candidate` servers of a service.

    Parameters
    ----------
    servers : dict of str to core.registry.Registration
    loads : core.engine_load.EngineLoads
    healths : dict of str to core.health.ServerHealth
        By server id.
    said : core.announcements.Announcements
    service : str
    excluded : set of str
        Ids that are not asked again.
    now : float
    """
    found, avoided = [], []
    for server in servers.values():
        if server.service != service or not server.is_ready:
            continue
        if server.server_id in excluded:
            continue
        if not announcements.takes_requests(said, server.server_id, now):
            continue
        candidate = _candidate(server, loads, now)
        if candidate is None:
            continue
        state = healths.get(server.server_id)
        if state is None or not health.is_avoided(state, now, server.started_ms):
            found.append(candidate)
        elif not state.is_refusing:
            avoided.append(candidate)
    # Servers that lost requests are still better than none.
    return found or avoided


def _candidate(server, loads, now):
    if not server.runs_model:
        return Candidate(server, None, None)
    load = engine_load.fresh(loads, server, now)
    holding = load.holding if load else server.holding
    if holding is None or (load and load.is_busy):
        return None
    return Candidate(server, holding, load)


@attrs.frozen
class Size:
    """Tokens of a prompt, and of its answer as far as it is known."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


@attrs.frozen(kw_only=True)
class Place:
    """Where an entry stands, for the way to a server.

    Attributes
    ----------
    failure_domain : str
    regions : dict of str to str
        Failure domain to region.
    others : int
        Other entries.
    by_region : dict of str to int
        Other entries of each region.
    """

    failure_domain: str
    regions: dict
    others: int
    by_region: dict = attrs.field(factory=dict)


def rank(
    found,
    service,
    in_progress,
    healths,
    errors_seen,
    size,
    place,
    draw,
    begin_by,
    now,
):
    """Return the candidates as `Choice`, the best first.

    Parameters
    ----------
    found : list of Candidate
    service : core.routes.Service or None
    in_progress : dict of str to core.outstanding.Outstanding
        By server id.
    healths : dict of str to core.health.ServerHealth
        By server id.
    errors_seen : core.calibration.Calibration
    size : Size
    place : Place
    draw : callable without arguments
        Uniform in [0, 1).
    begin_by : callable of (core.registry.Holding or None)
        Returns the time by which a request must begin on some weights.
    now : float
    """
    empty = outstanding.Outstanding()
    states = [in_progress.get(c.server.server_id, empty) for c in found]
    unread = sum(sum(state.unread.values()) for state in states if state.unread)
    mean_unread = unread / max(1, len(found))
    published = service.pace if service is not None else None
    interval_s = pace.place_interval_s(published) if published else 0.0
    choices = []
    for candidate, state in zip(found, states, strict=True):
        load, server = candidate.load, candidate.server
        others = _sharers(server, place)
        occupied = outstanding.occupancy(state, load, others)
        if published is None:
            first_s, wait_s, cost_s = _plain(server, occupied, draw)
        else:
            unread = outstanding.unread_tokens(
                state, mean_unread, load, others, published.usual_prompt_tokens
            )
            first_s, wait_s, cost_s = _paced(
                candidate, published, interval_s, occupied, unread, size, draw, now
            )
        if now + wait_s >= begin_by(candidate.holding):
            continue
        correction_s = calibration.correction_s(
            errors_seen, server.service, server.server_id, now
        )
        known = healths.get(server.server_id)
        cost_s += correction_s + _way_penalty_s(server, place)
        if known is not None:
            cost_s += health.penalty_s(known)
        first_s += correction_s
        choices.append(Choice(candidate, first_s, wait_s, occupied, cost_s))
    choices.sort(key=lambda choice: choice.cost_s)
    return choices


def _sharers(server, place):
    """Return how many other entries count as sending to a server, those far in part."""
    region = place.regions.get(server.failure_domain)
    near = place.by_region.get(region, 0)
    far = sum(place.by_region.values()) - near
    return near + FAR_SHARE * far if place.by_region else place.others


def _plain(server, occupied, draw):
    """Return first event, wait and cost in s at a server that publishes no pace."""
    slots = max(1, server.slots)
    wait_s = max(0.0, occupied + 1 - slots) * PLAIN_REQUEST_S / slots
    first_s = wait_s + PLAIN_REQUEST_S
    return first_s, wait_s, first_s + PLAIN_REQUEST_S * (occupied + draw()) / slots


def _paced(candidate, published, interval_s, occupied, unread, size, draw, now):
    """Return first event, wait and cost in s at an engine."""
    slowness = candidate.load.slowness if candidate.load else 1.0
    found = pace.predict(published, occupied, unread, size.prompt_tokens, slowness)
    noise_s = draw() * NOISE_PASSES * pace.steps_s(published, published.slots)
    # Among engines with free places the one with fewer requests has more room.
    crowd_s = interval_s * min(1.0, occupied / published.slots)
    cost_s = found.first_event_s + noise_s + crowd_s
    if candidate.load is not None and candidate.load.loads_at is not None:
        ends_at = now + found.first_event_s
        ends_at += slowness * pace.answer_s(published, size.answer_tokens, occupied)
        # By how much it would delay a load of weights that is due.
        cost_s += max(0.0, ends_at - candidate.load.loads_at)
    return found.first_event_s, found.wait_s, cost_s


def _way_penalty_s(server, place):
    if server.failure_domain == place.failure_domain:
        return 0.0
    here = place.regions.get(place.failure_domain)
    if place.regions.get(server.failure_domain) == here:
        return DOMAIN_PENALTY_S
    return REGION_PENALTY_S
