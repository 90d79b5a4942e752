"""Limits of backend servers for all entries together, as one entry knows them.

Servers name a limit, and cold ones have another one; the lower one is in force.

`core.permits` decides who grants permits and how many; `entry.permit_exchange`
exchanges the requests and replies.
"""

import math
import random

import anyio
import attrs

from carobstand import eventlog, signals
from carobstand.core import (
    announcements,
    eligibility,
    entry_roster,
    permit_rates,
    permits,
)
from carobstand.entry import cold_servers, limit_messages
from carobstand.entry import fleet as fleets

REPEAT_S = 0.2
"""Time after which a changed limit is sent once more, as datagrams may be lost."""


MAX_TRANSIT_S = 0.2
"""Maximum time that a datagram usually takes; what another entry heard from a server
counts as that much older."""


@attrs.define(eq=False)
class ServerLimits:
    """Limits of backend servers as shared with the other entries.

    Attributes
    ----------
    fleet : entry.fleet.Fleet
    holders : dict of str to core.permits.Holder
        By server id.
    granters : dict of (str, core.permits.Rank) to core.permits.Granter
        By server id and the rank in which this entry grants its permits.
    outbox : list of (str, object)
        Address of the other entry and message, not yet sent.
    repeats : list of (float, str, object)
        Time, address and message.
    greeted : set of str
        VMs of entries that know the limits whose permits this entry grants.
    order_vms : tuple of str
        VMs of the entries to which `orders` applies.
    orders : dict of str to list of str
        VMs in the order in which they grant the permits of a server, by its id.
    listed_at : float or None
        Time at which this entry last appeared among the registered ones.
    aware : set of str
        VMs of entries that confirmed that they know of this one.
    introduce_at : float
        Time at which the others are told next that this entry has joined.
    has_announced_stop : bool
    is_changed : bool
        Whether something is to be done since the last `step`.
    woken : signals.Signal
        Notified when `is_changed` is set.
    permit_arrived : callable of (str)
        Called with the server id when requests may be sent that had to wait.
    draw : callable without arguments
        Returns a random number, uniform in [0, 1).
    """

    fleet: fleets.Fleet
    holders: dict = attrs.field(factory=dict)
    granters: dict = attrs.field(factory=dict)
    outbox: list = attrs.field(factory=list)
    repeats: list = attrs.field(factory=list)
    greeted: set = attrs.field(factory=set)
    order_vms: tuple = ()
    orders: dict = attrs.field(factory=dict)
    listed_at: float | None = None
    aware: set = attrs.field(factory=set)
    introduce_at: float = -math.inf
    has_announced_stop: bool = False
    is_changed: bool = False
    woken: signals.Signal = attrs.field(factory=signals.Signal)
    permit_arrived: object = lambda server_id: None
    draw: object = random.random

    def __attrs_post_init__(self):
        self.fleet.cold_changed = lambda server_id: _on_cold_changed(self, server_id)


def wake(limits):
    """Make `entry.permit_exchange.run` take its next step now."""
    limits.is_changed = True
    limits.woken.notify()


def is_limited(limits, server_id):
    """Whether a server limits the requests of all entries together."""
    announced = limits.fleet.announced
    if server_id not in announced.by_server:
        return False
    return (
        announcements.limit_of(announced, server_id, anyio.current_time()) is not None
    )


def withholds(limits, server_id):
    """Return why a request to a server has to wait for a permit, None if it has not.

    Returns
    -------
    reason : core.eligibility.Reason or None
    """
    if not is_limited(limits, server_id):
        return None
    announced, now = limits.fleet.announced, anyio.current_time()
    holder = limits.holders.setdefault(server_id, permits.Holder())
    permits.set_cold(holder, announcements.is_cold(announced, server_id, now))
    if permits.held(holder, now):
        return None
    if permits.withhold(holder, now):
        wake(limits)
    return _limit_reason(limits, server_id, now)


def _limit_reason(limits, server_id, now):
    if announcements.is_limited_by_cold(limits.fleet.announced, server_id, now):
        return eligibility.Reason.COLD
    return eligibility.Reason.LIMITED


def would_withhold(limits, server_id):
    """Return what `withholds` would return, without a request for a permit."""
    if not is_limited(limits, server_id):
        return None
    now, holder = anyio.current_time(), limits.holders.get(server_id)
    if holder is not None and any(expiry > now for expiry in holder.expiries):
        return None
    return _limit_reason(limits, server_id, now)


def take(limits, server_id):
    """Use a permit for a request to a server, if its requests are limited.

    Returns
    -------
    permit : core.permits.Permit or None
        None if the requests of the server are not limited.
    """
    if not is_limited(limits, server_id):
        return None
    permit = permits.take(limits.holders[server_id], anyio.current_time())
    wake(limits)
    return permit


def withholds_chosen(limits, server_id, permit):
    """Return why a request has to wait though its server was chosen, or None.

    While its connection was opened, the server may have become cold or named a limit,
    and the permit may have expired. Another permit is used if one is at hand.

    Parameters
    ----------
    limits : ServerLimits
    server_id : str
    permit : core.permits.Permit or None
        What `take` returned when the server was chosen.

    Returns
    -------
    reason : core.eligibility.Reason or None
    """
    if not is_limited(limits, server_id):
        return None
    now = anyio.current_time()
    is_cold = announcements.is_cold(limits.fleet.announced, server_id, now)
    if permits.is_valid(permit, is_cold, now):
        return None
    reason = withholds(limits, server_id)
    if reason is None:
        take(limits, server_id)
    return reason


def expected_wait_s(limits, server_ids, ahead):
    """Return the expected time until a request gets a permit for one of some servers.

    Parameters
    ----------
    limits : ServerLimits
    server_ids : list of str
    ahead : int
        Waiting requests that are served before.

    Returns
    -------
    wait_s : float or None
        None if no permits were requested yet.
    """
    permits_per_s = 0.0
    for server_id in server_ids:
        holder = limits.holders.get(server_id)
        interval_s = holder and permits.reported_interval_s(holder)
        if interval_s:
            permits_per_s += 1 / interval_s
    if not permits_per_s:
        return None
    return min((ahead + 1) / permits_per_s, _until_unlimited_s(limits, server_ids))


def _until_unlimited_s(limits, server_ids):
    """Return the time until one of some limited servers is warm and has no limit."""
    known = [limits.fleet.announced.by_server.get(item) for item in server_ids]
    ends = [item.cold_until for item in known if item and item.limit is None]
    return max(0.0, min(ends, default=math.inf) - anyio.current_time())


def record_answer(limits, server_id, started_ms, head, sent_at):
    """Record what a response says of its server's limit and of its cold time.

    Parameters
    ----------
    limits : ServerLimits
    server_id : str
    started_ms : int
        Start of the server in Unix ms, 0 if it is not known.
    head : core.exchange.AnswerHead
    sent_at : float
        Time at which the request was sent.
    """
    is_news = _record_limit(limits, server_id, started_ms, head, sent_at)
    if _record_cold(limits, server_id, started_ms, head, sent_at) or is_news:
        spread(limits, server_id)


def _record_cold(limits, server_id, started_ms, head, sent_at):
    if head.malformed_cold:
        eventlog.event(
            "server.cold_malformed", server=server_id, value=head.malformed_cold[:40]
        )
    # Responses overtake each other: one that says warm may be older than a known one.
    if head.cold_s is None or not (head.cold_s or head.is_signed):
        return False
    named_at = anyio.current_time() if head.cold_s else sent_at
    return learn_cold(limits, server_id, started_ms, head.cold_s, named_at, "answer")


def _record_limit(limits, server_id, started_ms, head, sent_at):
    now = anyio.current_time()
    known = limits.fleet.announced.by_server.get(server_id)
    if head.malformed_limit:
        eventlog.event(
            "server.limit_malformed", server=server_id, value=head.malformed_limit[:40]
        )
        return False
    if head.limit is None:
        # Responses overtake each other on different connections.
        is_withdrawn = (
            known is not None
            and known.limit is not None
            and head.is_signed
            and sent_at >= known.limit_named_at
        )
        if not is_withdrawn:
            return False
    return learn(limits, server_id, started_ms, head.limit, now, "answer")


def learn(limits, server_id, started_ms, limit, named_at, source):
    """Record a limit; return whether it changed."""
    if not announcements.record_limit(
        limits.fleet.announced, server_id, started_ms, limit, named_at
    ):
        return False
    eventlog.event("server.limit", server=server_id, limit=limit, source=source)
    on_limit_changed(limits, server_id)
    return True


def on_limit_changed(limits, server_id):
    """Act on a limit that was recorded or withdrawn."""
    _drop_if_unlimited(limits, server_id)
    wake(limits)


def learn_cold(limits, server_id, started_ms, cold_s, named_at, source, told_per_s=0.0):
    """Record that a server is cold or warm; return whether that changed."""
    if not cold_servers.note_cold(
        limits.fleet, server_id, started_ms, cold_s, named_at, source, told_per_s
    ):
        return False
    on_limit_changed(limits, server_id)
    return True


def _drop_if_unlimited(limits, server_id):
    if not is_limited(limits, server_id):
        limits.holders.pop(server_id, None)
        limits.permit_arrived(server_id)


def _on_cold_changed(limits, server_id):
    """Act on what the store or an agent told of a server's cold time.

    The entry that grants its permits tells the others: one that is cut off from the
    store would go on sending without permits.
    """
    _drop_if_unlimited(limits, server_id)
    if granting(limits, server_id)[0] == limits.fleet.deployment.vm:
        spread(limits, server_id)
    wake(limits)


def others(limits):
    """Return the other entries that run, by VM."""
    own_vm = limits.fleet.deployment.vm
    running = entry_roster.running(limits.fleet.roster, anyio.current_time())
    return {vm: entry for vm, entry in running.items() if vm != own_vm}


def granting(limits, server_id):
    """Return the VMs that grant the permits of a server, the first one first."""
    return _order(limits, server_id)[:2]


def _order(limits, server_id):
    vms = tuple(entry_roster.running(limits.fleet.roster, anyio.current_time()))
    if vms != limits.order_vms:
        limits.order_vms, limits.orders = vms, {}
    if server_id not in limits.orders:
        limits.orders[server_id] = permit_rates.granting_entries(
            server_id,
            vms or [limits.fleet.deployment.vm],
            1 + permit_rates.CONFIRMING_ENTRIES,
        )
    return limits.orders[server_id]


def is_first(limits, server_id):
    """Whether this entry grants the permits of a server."""
    return _order(limits, server_id)[0] == limits.fleet.deployment.vm


def next_in_order(limits, server_id):
    """Return the VMs that follow in the order in which a server's permits are granted.

    They are so many that one of them granted before the first one joined.
    """
    return _order(limits, server_id)[1:]


def is_running(limits):
    """Whether others that read the store count this entry as running."""
    running = entry_roster.running(limits.fleet.roster, anyio.current_time())
    return limits.fleet.deployment.vm in running


def is_confirmed(limits, server_id, settled_s):
    """Whether no other entry can grant the permits of a server instead of this one.

    An earlier one stops when it knows of this one. One that cannot know grants a part
    only, once its state of the store has not been confirmed for `settled_s`. Without
    others in the store, their records may have lapsed around an outage.
    """
    if limits.listed_at is None:
        return False
    if anyio.current_time() - limits.listed_at > settled_s:
        return True
    others = next_in_order(limits, server_id)
    return bool(others) and limits.aware.issuperset(others)


def spread(limits, server_id):
    """Send a changed limit to the entry that grants the permits, or from it to all."""
    known = others(limits)
    first = granting(limits, server_id)[0]
    if first == limits.fleet.deployment.vm:
        targets = list(known.values())
        message = limit_messages.permit_reply(limits, server_id)
    else:
        targets = [known[first]]
        message = limit_messages.permit_request(limits, server_id)
    send_twice(limits, targets, message)


def send_twice(limits, entries, message):
    """Send a message to some entries now and once more a little later."""
    again_at = anyio.current_time() + REPEAT_S
    for entry in entries:
        limits.outbox.append((entry.address, message))
        limits.repeats.append((again_at, entry.address, message))
    wake(limits)


def learn_from_message(limits, message, peer):
    """Record the limit in a message of another entry; return whether it changed.

    Raises
    ------
    ValueError
        If a field is missing or out of range.
    """
    if not message.server_id:
        raise ValueError("no server")
    if message.limit is not None and not 0 <= message.limit < math.inf:
        raise ValueError(f"limit {message.limit}")
    is_cold_news = _learn_cold_from_message(limits, message, peer)
    if message.named_ms is None or message.named_ms < 0:
        return is_cold_news
    named_at = anyio.current_time() - message.named_ms / 1000 - MAX_TRANSIT_S
    is_limit_news = learn(
        limits,
        message.server_id,
        message.started_ms or 0,
        message.limit,
        named_at,
        peer,
    )
    return is_limit_news or is_cold_news


def _learn_cold_from_message(limits, message, peer):
    cold_ms, per_s = message.cold_ms, message.sustained_per_s
    if cold_ms is None or per_s is None:
        return False
    if cold_ms < 0 or not 0 < per_s < math.inf:
        raise ValueError(f"cold for {cold_ms} ms, {per_s} requests/s")
    server_id, started_ms = message.server_id, message.started_ms or 0
    cold_servers.note_start(limits.fleet, server_id, started_ms)
    if message.cold_named_ms is None:
        if not cold_ms or cold_servers.knows_cold(limits.fleet, server_id, started_ms):
            return False
        named_at = -math.inf
    else:
        age_s = message.cold_named_ms / 1000
        named_at = anyio.current_time() - age_s - MAX_TRANSIT_S
    return learn_cold(
        limits, server_id, started_ms, cold_ms / 1000, named_at, peer, per_s
    )
