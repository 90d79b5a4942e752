"""Selection of the backend server for a request."""

import attrs

from carobstand.core import (
    calibration,
    eligibility,
    health,
    latency_model,
    outstanding,
    server_work,
)

REGION_PENALTY_S = 0.03
"""Time by which a server in another region must be predicted to answer earlier to be
preferred, because traffic between regions is costly."""

DOMAIN_PENALTY_S = 0.008
"""The same for a server in another failure domain of the same region."""

NOISE_PASSES = 0.5
"""Random part of a prediction, in passes. Without it, entries with the same reports
would all choose the same engine."""

REMOTE_SHARE = 0.3
"""Requests that an entry sends to another region, relative to those to its own region.
Entries in other regions are counted with this weight."""

MAX_BEGIN_DELAY_S = 0.4
"""Longest time by which a request is expected to begin later than predicted. Late first
events also come from slow engines; more would leave engines idle at the end of their
weights, as the newer ones may not have arrived."""

REGION_DELAY_S = 0.4
"""Time by which a request to another region, or its withdrawal, may be late near the
end of a server's weights. The link between two regions carries weights, too: requests
began on outdated weights 0.26 to 0.35 s after they were sent or withdrawn."""

PLAIN_REQUEST_S = 0.05
"""Assumed duration of a request at a server without a latency model."""


@attrs.frozen
class Choice:
    """A candidate with its predicted times and its cost.

    `first_event_s` is the predicted time to the first byte at the server, which the
    actual one may exceed by `margin_s`. It includes `corrections_s`: the correction of
    the service, and the whole one. The choice with the lowest `cost_s` is best.
    """

    candidate: eligibility.Candidate
    first_event_s: float
    wait_s: float
    occupancy: float
    cost_s: float
    margin_s: float = 0.0
    corrections_s: tuple = (0.0, 0.0)


@attrs.frozen
class Size:
    """Number of prompt tokens, and expected number of answer tokens."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


@attrs.frozen(kw_only=True)
class EntryLocation:
    """Location of an entry and the number of other entries per region.

    Attributes
    ----------
    failure_domain : str
    regions : dict of str to str
        Region of each failure domain.
    others : int
        Number of other entries.
    by_region : dict of str to int
        Number of other entries in each region.
    """

    failure_domain: str
    regions: dict
    others: int
    by_region: dict = attrs.field(factory=dict)


def rank(
    candidates,
    service,
    in_progress,
    healths,
    prediction_errors,
    size,
    location,
    draw,
    begin_by,
    now,
):
    """Return a `Choice` for each candidate that can start in time, the best first.

    The others are added to the excluded ones.

    Parameters
    ----------
    candidates : core.eligibility.Candidates
    service : core.routes.Service or None
    in_progress : dict of str to core.outstanding.Outstanding
        By server id.
    healths : dict of str to core.health.ServerHealth
        By server id.
    prediction_errors : core.calibration.Calibration
    size : Size
    location : EntryLocation
    draw : callable without arguments
        Returns a random number, uniform in [0, 1).
    begin_by : callable of (core.registry.Holding or None)
        Returns the latest time at which a request may start on the given weights.
    now : float
    """
    empty = outstanding.Outstanding()
    found = candidates.usable
    states = [in_progress.get(c.server.server_id, empty) for c in found]
    pending = sum(state.work.to_read for state in states)
    mean_pending = pending / max(1, len(found))
    model = service.latency_model if service is not None else None
    times = noise_s = None
    if model is not None:
        times = latency_model.times(model, size.prompt_tokens)
        noise_s = NOISE_PASSES * latency_model.decode_pass_s(model, model.slots)
    name = found[0].server.service if found else ""
    service_s = calibration.service_correction_s(prediction_errors, name, now)
    margin_s = calibration.margin_s(prediction_errors, name, now)
    choices, domains = [], {}
    for candidate, state in zip(found, states, strict=True):
        load, server = candidate.load, candidate.server
        domain = server.failure_domain
        if domain not in domains:
            domains[domain] = (
                effective_entries(server, location),
                _distance_penalty_s(server, location),
            )
        others, distance_s = domains[domain]
        occupied = outstanding.occupancy(state, load, others)
        if model is None:
            first_s, wait_s, cost_s = _predict_plain(candidate, occupied, draw)
        else:
            pending = outstanding.pending_prompt_tokens(
                state, mean_pending, load, others, model.usual_prompt_tokens
            )
            ratio = server_work.write_ratio(
                state.work, occupied, model.usual_answer_tokens
            )
            first_s, wait_s, cost_s = _predict_engine(
                candidate, times, (occupied, pending, ratio), size, now
            )
            cost_s += draw() * noise_s
        correction_s = calibration.server_correction_s(
            prediction_errors, service_s, server.server_id, now
        )
        delay_s = min(MAX_BEGIN_DELAY_S, correction_s + margin_s)
        begin_s = wait_s + max(delay_s, region_delay_s(server, location))
        if now + begin_s >= begin_by(candidate.holding):
            reason = eligibility.Reason.OUTDATED_WEIGHTS
            candidates.excluded[server.server_id] = reason
            continue
        server_health = healths.get(server.server_id)
        cost_s += correction_s + distance_s
        if server_health is not None:
            cost_s += health.penalty_s(server_health, now, server.started_ms)
        first_s += correction_s
        corrections_s = (service_s, correction_s)
        choices.append(
            Choice(
                candidate, first_s, wait_s, occupied, cost_s, margin_s, corrections_s
            )
        )
    choices.sort(key=lambda choice: choice.cost_s)
    return choices


def effective_entries(server, location):
    """Return the number of other entries that send to a server.

    Entries in other regions count as `REMOTE_SHARE` each.
    """
    region = location.regions.get(server.failure_domain)
    near = location.by_region.get(region, 0)
    remote = sum(location.by_region.values()) - near
    return near + REMOTE_SHARE * remote if location.by_region else location.others


def _predict_plain(candidate, occupied, draw):
    """Return first event, wait and cost in s at a server without a latency model."""
    server = candidate.server
    slots = max(1, server.slots)
    request_s = PLAIN_REQUEST_S * candidate.slowness
    wait_s = max(0.0, occupied + 1 - slots) * request_s / slots
    first_s = wait_s + request_s
    return first_s, wait_s, first_s + request_s * (occupied + draw()) / slots


def _predict_engine(candidate, times, state, size, now):
    """Return first event, wait and cost in s at an engine.

    Parameters
    ----------
    candidate : core.eligibility.Candidate
    times : core.latency_model.Times
    state : (float, float, float)
        Requests at the engine, the prompt tokens that it has left to read, and the
        ratio of `core.server_work.write_ratio`.
    size : Size
    now : float
    """
    occupied, pending, ratio = state
    model, slowness = times.model, candidate.slowness
    found = latency_model.predict_with(times, occupied, pending, slowness, ratio)
    # Among engines with free slots, prefer the one with less work left.
    cost_s = found.first_event_s
    cost_s += times.interval_s * ratio * min(1.0, occupied / model.slots)
    if candidate.load is not None and candidate.load.next_load_at is not None:
        ends_at = now + found.first_event_s
        ends_at += slowness * latency_model.answer_s(
            model, size.answer_tokens, occupied
        )
        # Time by which the request would delay a scheduled load of weights.
        cost_s += max(0.0, ends_at - candidate.load.next_load_at)
    return found.first_event_s, found.wait_s, cost_s


def region_delay_s(server, location):
    """Return the time by which what is sent to a server may arrive late."""
    regions = location.regions
    domains = location.failure_domain, server.failure_domain
    is_near = len({regions.get(domain) for domain in domains}) == 1
    return 0.0 if is_near else REGION_DELAY_S


def _distance_penalty_s(server, location):
    if server.failure_domain == location.failure_domain:
        return 0.0
    here = location.regions.get(location.failure_domain)
    if location.regions.get(server.failure_domain) == here:
        return DOMAIN_PENALTY_S
    return REGION_PENALTY_S
