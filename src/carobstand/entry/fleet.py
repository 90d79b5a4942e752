"""State of the deployment as read from the store, and the loop that follows it."""

import math

import anyio
import attrs

from carobstand import (
    entry_records,
    errors,
    eventlog,
    metrics,
    signals,
    unreadable_records,
)
from carobstand.core import (
    announcements,
    change_feed,
    entry_roster,
    evacuation,
    part_state,
    registry,
    weight_sources,
)
from carobstand.entry import (
    change_relay,
    evacuations,
    restored_items,
    startup,
    store_items,
)
from carobstand.platform import kv, records

SYSTEM_PREFIX = "carobstand/"
"""Prefix of the store keys that entries write."""

MAX_READ_S = 0.5
"""Time after which the first of several reads is repeated: the state of this entry
counts as confirmed only up to the earliest one, and others do not accept it later."""

WATCH_WAIT_S = 2.5
"""Maximum wait of a watch. A watch that ends without changes confirms that nothing
changed until then; a connection that went silent is detected after this time."""

REREAD_S = 0.5
"""Time to repeat a watch that was lost, and to apply what it missed."""

CONFIRM_SHARE = 0.7
"""Age that the local copy may reach during a watch, as a share of the age at which its
API keys are no longer accepted, it no longer allows final refusals, or others do not
accept a reader's changes.
The rest is left for one more store call."""

BATCH_SHARE = 0.12
"""Pause after each watch with changes, as a share of the time within which a change
must take effect. Registrations come in series, and each watch that returns changes is
one more store call, so changes are batched."""

CONFIRM_WAIT_S = 0.02
"""Minimum wait of a watch, whose end soon confirms that no change was missed."""

RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
"""Exponential backoff while store calls fail."""

WATCH_GAP_S = 1.0
"""Longest time for which a watch may miss changes if the store drops its history."""


KEY_SLACK_S = 0.5
"""Time between the check of an API key and the start of its request at a server."""


@attrs.define(eq=False)
class Fleet:
    """Deployment state of an entry, shared by its loops.

    Attributes
    ----------
    deployment : core.deployment.Deployment
    store : platform.kv.Store
    configuration : core.routes.Configuration or None
    servers : core.registry.Registry
    registrations_missing : signals.Signal
        Notified when servers may have left, or only their registrations have lapsed.
    announced : core.announcements.Announcements
        Signals that backend servers sent about themselves in responses.
    named : dict of str to list of core.named_versions.SeenVersion
        By model.
    own_dates : dict of str to dict of int to core.named_versions.OwnDate
        What this entry knows from the store of the times at which versions were named,
        by model and version.
    witnesses : dict of str to core.named_versions.Witnesses
        When agents saw versions being named, by model.
    roster : core.entry_roster.Roster
        Entries that run.
    own_record : core.own_record.OwnRecord
        Record of this entry in the store.
    own_record_changed : signals.Signal
        Notified when it is to be written or removed.
    metrics : metrics.Registry
    prompt_parts : core.part_state.PoisonParts
    evacuation_marks : core.evacuation.Marks
        Failure domains whose servers get no requests.
    operator_items : dict of str to platform.kv.Item
        Newest configuration and named versions as read, by key.
    unreadable : unreadable_records.Unreadable
        Records that cannot be decoded and were logged.
    part_records : dict of bytes to platform.kv.Item
        Records of convicted parts of prompts in the store, as last seen, by part.
    confirmed_at : float or None
        Time up to which all changes of the store are known to be applied.
    store_failed_at : float
        Time at which the last failed call of the store was found to have failed.
    store_unreachable_at : float
        Time at which that call was sent. The disruption that made it fail may have
        ended any time later.
    revision : int
        Store revision up to which changes are applied.
    era : int
        Era of the store in which it counts.
    was_restored : bool
        Whether the store came back from a copy, so that its items may be outdated.
    history : core.change_feed.ChangeFeed
    changes_since : float
        Lower bound of the time at which the changes now applied were made.
    arrived_at : float or None
        Time at which the changes now applied arrived, if a watch had waited for them
        and they arrived at once; None otherwise.
    started : float
        Start time of this process.
    startup_s : float
        Processor time used by this process before `started`, 0 if not measured.
    first_read_at : float or None
        Time of the first full read of the store.
    stops_at : float
        Time at which a planned stop ends the requests still in progress.
    cold_changed : callable of (str)
        Called with the id of a known server that became cold or warm.
    versions_changed : callable without arguments
        Called when the times change by which requests must have begun.
    changed : signals.Signal
        Notified at each change of the above.
    """

    deployment: object
    store: object
    configuration: object = None
    servers: registry.Registry = attrs.field(factory=registry.Registry)
    registrations_missing: signals.Signal = attrs.field(factory=signals.Signal)
    announced: announcements.Announcements = attrs.field(
        factory=announcements.Announcements
    )
    named: dict = attrs.field(factory=dict)
    own_dates: dict = attrs.field(factory=dict)
    witnesses: dict = attrs.field(factory=dict)
    roster: entry_roster.Roster = attrs.field(factory=entry_roster.Roster)
    own_record: object = attrs.field(
        default=attrs.Factory(
            lambda self: entry_records.own_record_of(self.deployment), takes_self=True
        )
    )
    own_record_changed: signals.Signal = attrs.field(factory=signals.Signal)
    metrics: object = attrs.field(factory=metrics.Registry)
    prompt_parts: part_state.PoisonParts = attrs.field(factory=part_state.PoisonParts)
    evacuation_marks: evacuation.Marks = attrs.field(factory=evacuation.Marks)
    operator_items: dict = attrs.field(factory=dict)
    unreadable: unreadable_records.Unreadable = attrs.field(
        factory=unreadable_records.Unreadable
    )
    part_records: dict = attrs.field(factory=dict)
    confirmed_at: float | None = None
    store_failed_at: float = -1e9
    store_unreachable_at: float = -math.inf
    revision: int = 0
    era: int = 0
    was_restored: bool = False
    history: change_feed.ChangeFeed = attrs.field(factory=change_feed.ChangeFeed)
    changes_since: float = -1e9
    arrived_at: float | None = None
    started: float = attrs.field(factory=anyio.current_time)
    startup_s: float = 0.0
    first_read_at: float | None = None
    stops_at: float = math.inf
    cold_changed: object = lambda server_id: None
    versions_changed: object = lambda: None
    changed: signals.Signal = attrs.field(factory=signals.Signal)


async def observe(fleet):
    """Follow the changes of the store until cancelled."""
    pause_s = RETRY_MIN_S
    complete = False
    while True:
        called_at = anyio.current_time()
        try:
            if not complete:
                await read_all(fleet)
                complete = True
            reader = _reader(fleet)
            if reader is None:
                await _follow(fleet)
            else:
                await _follow_reader(fleet, reader)
            pause_s = RETRY_MIN_S
        except errors.HistoryLostError as exc:
            eventlog.event("store.history_lost", error=str(exc))
            complete = False
            fleet.store_failed_at = anyio.current_time()
        except errors.StoreError as exc:
            eventlog.event("store.failed", error=str(exc), revision=fleet.revision)
            fleet.store_failed_at = anyio.current_time()
            fleet.store_unreachable_at = called_at
            await anyio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)


async def read_all(fleet):
    """Read all store keys that an entry follows, and replace the local copy."""
    sent_at = anyio.current_time()
    own = await kv.list_prefix(fleet.store, SYSTEM_PREFIX)
    if fleet.revision:
        changes = await kv.list_prefix(fleet.store, records.OPERATOR_PREFIX)
        operator = startup.OperatorItems(changes, sent_at)
    else:
        entries = startup.registered_entries(fleet, own.items)
        may_have_lapsed = store_items.may_have_lapsed(fleet, sent_at)
        operator = await startup.read_operator_items(fleet, entries, may_have_lapsed)
        if anyio.current_time() - sent_at > MAX_READ_S:
            # It waited for another entry to have the configuration.
            sent_at = anyio.current_time()
            own = await kv.list_prefix(fleet.store, SYSTEM_PREFIX)
    servers = await kv.list_prefix(fleet.store, records.SERVER_PREFIX)
    found = [operator.changes, servers, own]
    if len({changes.era for changes in found}) > 1:
        raise errors.HistoryLostError(
            "the store was restored during a read", step="store.read"
        )
    is_restored = bool(fleet.revision) and found[0].era != fleet.era
    fleet.was_restored |= is_restored
    told = []
    if is_restored or not fleet.revision:
        told = await restored_items.ask_others(fleet, found)
    sources = [(item, "read") for item in found[0].items]
    sources += [(answer.item, "entry") for answer in told]
    for item, source in sources:
        if not records.is_evacuation_key(item.key):
            store_items.apply_item(fleet, item, source)
    store_items.replace_own_records(fleet, found[2])
    store_items.replace_servers(fleet, found[1].items)
    evacuations.replace_marks(fleet, found[0], told, is_restored)
    # The next watch reads what changed since the earliest of the reads.
    fleet.revision = min(changes.revision for changes in found)
    fleet.era = own.era
    fleet.confirmed_at = min(sent_at, operator.confirmed_at)
    fleet.changes_since = fleet.confirmed_at
    change_feed.reset(fleet.history, fleet.revision)
    if fleet.first_read_at is None:
        fleet.first_read_at = anyio.current_time()
    fleet.changed.notify()
    eventlog.event(
        "store.read",
        revision=fleet.revision,
        era=fleet.era,
        servers=len(fleet.servers.servers),
        configuration=fleet.configuration and fleet.configuration.version,
    )


async def _follow(fleet):
    """Watch the store once and apply the changes that it returns."""
    sent_at = anyio.current_time()
    wait_s = _watch_wait_s(fleet, sent_at)
    changes = await kv.watch(fleet.store, "", fleet.revision, wait_s)
    if changes.era != fleet.era:
        raise errors.HistoryLostError(
            f"changes after {fleet.revision} of era {fleet.era} are lost",
            step="store.watch",
        )
    # The response may have arrived long after the changes: its packets may have been
    # lost and sent again, or this process paused. They were made after the store told
    # the revision before them.
    if fleet.confirmed_at is not None:
        fleet.changes_since = fleet.confirmed_at
    fleet.arrived_at = kv.prompt_arrival(changes, sent_at)
    for item in changes.items:
        change_feed.add(fleet.history, item, fleet.changes_since)
        store_items.apply_item(fleet, item, "watch")
    fleet.arrived_at = None
    fleet.revision = max(fleet.revision, changes.revision)
    # A watch without changes lasted for its full wait, which has whole milliseconds,
    # unless the store ended it early: it may have done so long before this arrived.
    waited_s = 0.0 if changes.items else int(wait_s * 1000) / 1000
    is_whole = anyio.current_time() >= sent_at + waited_s
    fleet.confirmed_at = sent_at + waited_s if is_whole else sent_at
    expire_missing(fleet)
    evacuations.settle_marks(fleet)
    if changes.items:
        fleet.changed.notify()
        await anyio.sleep(batch_delay_s(fleet.deployment.bounds))


def _in_force_s(bounds):
    """Return the time within which each change must take effect."""
    return min(bounds.apply_s, bounds.drain_s, bounds.evacuation_s)


def _watch_wait_s(fleet, now):
    """Return the maximum wait of a watch; shorter for a reader that others poll.

    A watch that returns changes does not confirm that it missed none, so the age of the
    local copy grows over several watches.
    """
    age_s = now - (fleet.confirmed_at or 0.0)
    me = weight_sources.entry_from_deployment(fleet.deployment)
    if change_feed.is_reader(fleet.roster.entries.values(), me):
        in_force_s = _in_force_s(fleet.deployment.bounds)
        max_age_s = change_feed.MAX_AGE_SHARE * in_force_s
        max_wait_s = change_feed.READER_WAIT_SHARE * in_force_s
    else:
        bounds = fleet.deployment.bounds
        max_age_s = min(_max_key_age_s(fleet), bounds.apply_s)
        # A watch may be lost at the very end of a disturbance.
        detected_s = bounds.contact_s - REREAD_S
        max_wait_s = min(WATCH_WAIT_S, detected_s - kv.WATCH_SLACK_S)
    left_s = CONFIRM_SHARE * max_age_s - age_s
    return max(CONFIRM_WAIT_S, min(max_wait_s, left_s))


def _reader(fleet):
    """Return the entry to poll for changes, or None to read the store directly."""
    me = weight_sources.entry_from_deployment(fleet.deployment)
    now = anyio.current_time()
    return change_feed.reader(fleet.history, fleet.roster.entries.values(), me, now)


async def _follow_reader(fleet, reader):
    """Apply changes polled from `reader` until it fails or is no longer the reader."""
    max_age_s = change_feed.MAX_AGE_SHARE * _in_force_s(fleet.deployment.bounds)
    try:
        frames = await change_relay.connect(reader)
        try:
            while _reader(fleet) == reader:
                reply = await change_relay.poll_changes(
                    frames, fleet.revision, fleet.era, max_age_s
                )
                await _apply_reader_reply(fleet, reply)
        finally:
            await anyio.aclose_forcefully(frames.stream)
    except (
        errors.ConnectionClosedError,
        errors.WireError,
        errors.StoreError,
    ) as exc:
        eventlog.event("reader.failed", reader=reader.vm, error=str(exc))
        change_feed.record_reader_failure(fleet.history, anyio.current_time())


async def _apply_reader_reply(fleet, reply):
    for change in reply.changes:
        fleet.changes_since = change.since
        change_feed.add(fleet.history, change.item, change.since)
        store_items.apply_item(fleet, change.item, "reader")
    fleet.revision = max(fleet.revision, reply.revision)
    fleet.confirmed_at = max(fleet.confirmed_at, reply.confirmed_at)
    fleet.store_failed_at = max(fleet.store_failed_at, reply.store_failed_at)
    fleet.store_unreachable_at = max(
        fleet.store_unreachable_at, reply.store_unreachable_at
    )
    fleet.changes_since = max(fleet.changes_since, reply.confirmed_at)
    expire_missing(fleet)
    evacuations.settle_marks(fleet)
    if reply.changes:
        fleet.changed.notify()


def batch_delay_s(bounds):
    """Return the pause after a watch that brought changes, in s."""
    return BATCH_SHARE * _in_force_s(bounds)


def expire_missing(fleet):
    """Remove servers that did not register again within the grace period."""
    for server_id in registry.expire(fleet.servers, anyio.current_time()):
        eventlog.event("server.gone", server=server_id)


def are_keys_current(fleet, now):
    """Whether the API keys are recent enough to rule out a missed revocation."""
    if fleet.confirmed_at is None:
        return False
    return now - fleet.confirmed_at < _max_key_age_s(fleet)


def _max_key_age_s(fleet):
    """Return the age of the local copy at which its API keys are not accepted."""
    return fleet.deployment.bounds.revoke_s - WATCH_GAP_S - KEY_SLACK_S
