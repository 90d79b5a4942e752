"""Choice of a backend server for a call: ranks the servers that may run it."""

import collections
import math
import random

import anyio

from carobstand.core import (
    eligibility,
    engine_load,
    engine_memory,
    latency_model,
    outstanding,
    placement,
    queue_policy,
    registry,
    sampling,
    shortlist,
)
from carobstand.entry import fleet, permitted_regions, server_limits, versions

MAX_SHORTLISTS = 64
"""Maximum number of shortlists of a service, one for each set of allowed regions; all
are made anew when there are more, as after many changes of the configuration."""

PLAIN_FIRST_BYTE_S = 0.05
"""Time to the first byte of an idle server without a latency model."""


def located_ids(fwd, call):
    """Return the ids of the servers of a call's service where it may run."""
    conditions = conditions_of(fwd, call)
    return [
        server.server_id
        for server in fwd.fleet.servers.servers.values()
        if server.service == call.service
        and eligibility.location_reason(server, conditions) is None
    ]


def withheld_reason(fwd, call, candidate):
    """Return the `Reason` why a call may no longer go to its chosen server, or None.

    The configuration, the evacuation marks and what is known of the server may have
    changed since the choice, for example while a connection was opened, and its weights
    may have become outdated, above all if this process paused. The limits are checked
    last, as that may use a permit.
    """
    server, now = candidate.server, anyio.current_time()
    conditions = conditions_of(fwd, call)
    known = fwd.fleet.servers.servers.get(server.server_id)
    if known is None:
        return eligibility.Reason.REMOVED
    # The server may have registered elsewhere; the connection is to its old address.
    reason = eligibility.location_reason(
        server, conditions
    ) or eligibility.lasting_reason(known, conditions, now)
    if reason is not None:
        return reason
    if begin_by(fwd, candidate) <= now:
        return eligibility.Reason.OUTDATED_WEIGHTS
    return server_limits.withholds_chosen(fwd.limits, server.server_id, call.permit)


def begin_by(fwd, candidate):
    """Return the time by which a request has begun at a server, or is withdrawn."""
    delay_s = placement.region_delay_s(candidate.server, _location(fwd))
    return versions.begin_by(fwd.fleet, candidate.holding) - delay_s


def best(fwd, call, now):
    """Return the best choice for a call and the excluded servers.

    Returns
    -------
    choice : core.placement.Choice or None
        None if no server can take the call.
    excluded : dict of str to core.eligibility.Reason
        By server id; complete if there is no choice.
    """
    if fwd.fleet.servers.lapsed:
        fleet.expire_missing(fwd.fleet)
    known = fwd.fleet.servers.servers
    sampled = _best_of_sample(fwd, call, known, now)
    if sampled is not None:
        return sampled, {}
    state = _shortlist(fwd, call)
    shortlisted_ids = shortlist.ids_to_rank(state, len(known), now)
    if shortlisted_ids is not None:
        shortlisted = {key: known[key] for key in shortlisted_ids if key in known}
        choices, _ = rank(fwd, call, shortlisted, now)
        if choices:
            return choices[0], {}
    choices, excluded = rank(fwd, call, known, now)
    ranked = [choice.candidate.server.server_id for choice in choices]
    shortlist.record_full_ranking(state, ranked, now)
    return (choices[0] if choices else None), excluded


def _shortlist(fwd, call):
    """Return the `Shortlist` of a call's service and allowed regions.

    One shortlist for all would hide the servers of some regions from the requests that
    may run only there.
    """
    by_regions = fwd.shortlists.setdefault(call.service, {})
    regions = permitted_regions.of_call(fwd.fleet, call)
    if regions not in by_regions and len(by_regions) >= MAX_SHORTLISTS:
        by_regions.clear()
    return by_regions.setdefault(regions, shortlist.Shortlist())


def _others_by_region(state):
    """Return the number of other entries by region."""
    own_vm = state.deployment.vm
    found = collections.Counter(
        item.region for item in state.roster.entries.values() if item.vm != own_vm
    )
    return dict(found)


def _best_of_sample(fwd, call, known, now):
    """Return the best of a random sample of the nearest servers if good, else None."""
    domains, entries = _sampled_domains(fwd, call)
    near = [
        key
        for key, server in known.items()
        if server.service == call.service and server.failure_domain in domains
    ]
    count = sampling.sample_size(len(near), entries)
    if count >= len(near):
        return None
    picked = {key: known[key] for key in random.sample(near, count)}
    choices, _ = rank(fwd, call, picked, now)
    left_s = call.terms.target - queue_policy.NETWORK_TIME_S - now
    shortest_s = idle_first_byte_s(fwd, call)
    if choices and sampling.is_good_enough(
        choices[0].first_event_s, shortest_s, left_s
    ):
        return choices[0]
    return None


def _sampled_domains(fwd, call):
    """Return the failure domains to sample for a call, and the entries that do so.

    They are those of the region, or all others if the call may not run in the region.
    """
    dep, entries = fwd.fleet.deployment, fwd.fleet.roster.entries.values()
    usable = eligibility.open_domains(conditions_of(fwd, call))
    near = {domain for domain in usable if dep.regions[domain] == dep.region}
    if not near:
        return usable, len(entries)
    return near, sum(item.region == dep.region for item in entries)


def conditions_of(fwd, call, location=None, withholds=server_limits.withholds):
    """Return the `Conditions` that decide which servers may run a call.

    The memory that servers have left is only considered given the `EntryLocation`.
    """
    service = service_of(fwd, call)
    model = service.latency_model if service else None
    return eligibility.Conditions(
        service=call.service,
        loads=fwd.loads,
        healths=fwd.healths,
        announced=fwd.fleet.announced,
        tried=call.tried,
        regions=fwd.fleet.deployment.regions,
        permitted_regions=permitted_regions.of_call(fwd.fleet, call),
        evacuated=fwd.fleet.evacuation_marks.in_force,
        is_doubtful=_doubt_condition(fwd),
        withholds=lambda server_id: withholds(fwd.limits, server_id),
        lacks_memory=_memory_condition(fwd, call, model, location),
        is_too_large=needed_tokens(call) > engine_memory.limit_tokens(model),
    )


def _doubt_condition(fwd):
    """Return the condition that a server may have left some time ago."""
    servers = fwd.fleet.servers
    if not servers.lapsed:
        return eligibility.never
    now = anyio.current_time()
    return lambda server_id: registry.is_doubtful(servers, server_id, now)


def needed_tokens(call):
    """Return the tokens of a call that count in the memory of an engine."""
    return engine_memory.needed_tokens(call.size, call.req.max_answer_tokens)


def _memory_condition(fwd, call, model, location):
    """Return the condition that a server lacks memory for a call."""
    if location is None or math.isinf(engine_memory.limit_tokens(model)):
        return eligibility.never
    needed, now = needed_tokens(call), anyio.current_time()
    idle = outstanding.Outstanding()

    def lacks_memory(server):
        return server.runs_model and not engine_memory.fits(
            model,
            fwd.in_progress.get(server.server_id, idle),
            engine_load.fresh_load(fwd.loads, server, now),
            placement.effective_entries(server, location),
            needed,
            now,
        )

    return lacks_memory


def rank(fwd, call, servers, now, withholds=server_limits.withholds):
    """Return the choices among `servers` for a call, best first, and the excluded.

    Returns
    -------
    choices : list of core.placement.Choice
    excluded : dict of str to core.eligibility.Reason
        By server id.
    """
    location = _location(fwd)
    conditions = conditions_of(fwd, call, location, withholds)
    found = eligibility.sort_out(servers, conditions, now)
    choices = placement.rank(
        found,
        service_of(fwd, call),
        fwd.in_progress,
        fwd.healths,
        fwd.prediction_errors,
        call.size,
        location,
        random.random,
        lambda holding: versions.begin_by(fwd.fleet, holding),
        now,
    )
    return choices, found.excluded


def _location(fwd):
    """Return the `EntryLocation` of this entry."""
    dep = fwd.fleet.deployment
    return placement.EntryLocation(
        failure_domain=dep.failure_domain,
        regions=dep.regions,
        others=max(0, len(fwd.fleet.roster.entries) - 1),
        by_region=_others_by_region(fwd.fleet),
    )


def service_of(fwd, call):
    """Return the `Service` of a call, or None if it is not configured."""
    config = fwd.fleet.configuration
    return config.services.get(call.service) if config else None


def idle_first_byte_s(fwd, call):
    """Return the predicted time to the first byte of a call at an idle server."""
    if call.idle_first_byte_s is None:
        call.idle_first_byte_s = PLAIN_FIRST_BYTE_S
        service = service_of(fwd, call)
        if service is not None and service.latency_model is not None:
            idle = latency_model.predict(
                service.latency_model, 0, 0, call.size.prompt_tokens
            )
            call.idle_first_byte_s = idle.first_event_s
    return call.idle_first_byte_s
