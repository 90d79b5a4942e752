"""Time from which a weight version counts as named, however late the change arrives."""

import anyio
import pytest

from carobstand import errors
from carobstand.agent import view as views
from carobstand.core import deployment, registry
from carobstand.entry import change_relay, versions
from carobstand.entry import fleet as fleets
from carobstand.platform import kv
from carobstand.wire.gen_fleet import ttypes
from testing import platform_builders as build
from testing import version_store

DEPLOYMENT = deployment.Deployment(
    vm="e1",
    ip="10.0.0.1",
    failure_domain="a",
    region="north",
    regions={"a": "north"},
    internal_ports=(1, 2),
    store_address="10.0.0.2:1",
)


def version_item(version):
    raw = build.encode_record({"model": "m", "version": version})
    return kv.Item("op/version/m", raw, revision=version)


@pytest.fixture
def answers(monkeypatch):
    """Replace `kv.watch`; return its queue of (s until head, s until end, items)."""
    pending = []

    async def watch(store, prefix, after, wait_s):
        head_s, rest_s, items = pending.pop(0)
        await anyio.sleep(head_s)
        began_at = anyio.current_time()
        await anyio.sleep(rest_s)
        return kv.Changes(after + 1, tuple(items), began_at)

    monkeypatch.setattr(kv, "watch", watch)
    return pending


def date(fleet, version=2):
    """Return the time from which a version counts as named."""
    return next(item.seen_at for item in fleet.named["m"] if item.version == version)


@pytest.mark.parametrize("late_s", [0.2, 0.6, 1.4, 3.0])
def test_a_response_that_is_sent_again_does_not_date_its_version_later(
    monkeypatch, late_s
):
    """Guards against old weights in use 3 s too long: the kernel repeats lost packets.

    The response arrives during the watch, its head and body together.
    """
    named_at = 7.5
    store = version_store.Store([named_at], late=[(named_at, named_at + 0.1, late_s)])
    state = version_store.observe(monkeypatch, store, named_at + 7.0)
    assert date(state) <= named_at


@pytest.mark.parametrize("offset_s", [-1.9, -0.3, 0.0])
def test_a_pause_of_the_entry_does_not_date_a_version_later(monkeypatch, offset_s):
    """Guards against a date taken when a paused process reads the response."""
    named_at = 7.5
    pauses = [(named_at + offset_s, 2.0)]
    store = version_store.Store([named_at])
    state = version_store.observe(monkeypatch, store, named_at + 7.0, pauses=pauses)
    assert date(state) <= named_at


def test_a_version_named_while_a_response_is_on_its_way_is_not_dated_by_that(
    monkeypatch,
):
    """Guards against a date of the end of a watch whose response was generated before.

    That response comes 0.7 s late; the next watch returns the version at once. The
    first watch lasts 1.4 s.
    """
    store = version_store.Store([1.55], late=[(1.35, 1.5, 0.7)])
    state = version_store.observe(monkeypatch, store, 8.0)
    assert 1.35 < date(state) <= 1.55


def reports(arrivals):
    """Return a task by which agents in domains b and c report arrivals of version 2."""

    async def report(fleet):
        for number, at in enumerate(sorted(arrivals)):
            await anyio.sleep_until(at + 0.02)
            domain = "bc"[number % 2]
            server = build.registration(f"i-{number}", failure_domain=domain)
            versions.note_named(fleet, server, {2: 20})

    return report


@pytest.mark.parametrize("late_s", [0.4, 1.4, 3.0])
def test_late_agents_do_not_date_a_version_after_its_arrival_here(monkeypatch, late_s):
    """Guards against a date by agents whose responses were all delayed."""
    named_at = 7.5
    store = version_store.Store([named_at])
    arrivals = [named_at + late_s + extra_s for extra_s in (0.0, 0.1, 0.1, 0.3)]
    tasks = [reports(arrivals)]
    state = version_store.observe(monkeypatch, store, named_at + 7.0, tasks=tasks)
    assert date(state) <= named_at


@pytest.mark.parametrize("late_s", [0.0, 3.0])
def test_prompt_agents_date_a_version_exactly(monkeypatch, late_s):
    """Guards against a refusal of weights that are still allowed for 2.5 s."""
    named_at = 9.7
    late = [(named_at, named_at + 0.1, late_s)]
    store = version_store.Store([named_at], late=late)
    tasks = [reports([named_at + extra_s for extra_s in (0.02, 0.05, 1.0)])]
    state = version_store.observe(monkeypatch, store, named_at + 7.0, tasks=tasks)
    assert named_at - 0.1 <= date(state) <= named_at


def test_a_version_is_dated_by_the_last_state_that_the_store_confirmed(answers):
    """Guards against a date that is earlier than needed: callers would be refused."""

    async def test():
        began = anyio.current_time()
        state = fleets.Fleet(DEPLOYMENT, None, revision=1, changes_since=began - 9.0)
        state.confirmed_at = began - 9.0
        other = kv.Item("other/a", b"{}", revision=2)
        answers.extend([(0.1, 0.4, [other]), (0.6, 0.0, [version_item(2)])])
        await fleets._follow(state)
        await fleets._follow(state)
        assert state.named["m"][0].seen_at == pytest.approx(began, abs=0.04)

    anyio.run(test)


def test_a_watch_that_ends_early_confirms_only_the_state_at_its_start(answers):
    """Guards against a date by the arrival of a response without changes."""

    async def test():
        began = anyio.current_time()
        state = fleets.Fleet(DEPLOYMENT, None, revision=1, confirmed_at=began)
        answers.extend([(0.5, 0.0, []), (0.0, 0.0, [version_item(2)])])
        await fleets._follow(state)
        await fleets._follow(state)
        assert date(state) == pytest.approx(began, abs=0.04)

    anyio.run(test)


def test_a_version_batched_in_a_pause_is_dated_at_the_previous_watch(answers):
    """Guards against a date after a change that the last response was too early for."""

    async def test():
        state = fleets.Fleet(DEPLOYMENT, None, revision=1)
        answers.extend([(0.1, 0.0, [version_item(2)]), (0.0, 0.0, [version_item(3)])])
        began = anyio.current_time()
        await fleets._follow(state)
        await fleets._follow(state)
        assert state.named["m"][1].seen_at == pytest.approx(began, abs=0.04)

    anyio.run(test)


def test_after_an_outage_old_weights_serve_until_the_time_limits_apply_again(answers):
    async def test():
        state = fleets.Fleet(DEPLOYMENT, None, revision=1)
        now = anyio.current_time()
        state.changes_since, state.store_unreachable_at = now - 60.0, now - 0.1
        answers.append((0.0, 0.0, [version_item(2)]))
        await fleets._follow(state)
        bounds = DEPLOYMENT.bounds
        holding = registry.Holding(model="m", version=1)
        end = versions.begin_by(state, holding) - now
        slack_s = versions.VERSION_SLACK_S
        assert end == pytest.approx(bounds.contact_s - 0.1 - slack_s, abs=0.05)

    anyio.run(test)


@pytest.mark.parametrize("repeats", [True, False])
@pytest.mark.parametrize("offset_s", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0])
def test_the_grace_after_an_outage_counts_from_its_end(monkeypatch, offset_s, repeats):
    """Guards against a grace from the time-out of a call that waited past the outage.

    Old weights were in use for up to 1.5 s, the time-out of a call, too long.
    """
    bounds, end = DEPLOYMENT.bounds, 14.0 + offset_s
    store = version_store.Store([5.5], cuts=[(5.0, end)], repeats=repeats)
    state = version_store.observe(monkeypatch, store, 20.0)
    assert date(state) + bounds.version_s <= end + bounds.contact_s
    # The grace is used, less the time of a call and of the pause between two.
    spent_s = kv.CALL_TIMEOUT_S + fleets.RETRY_MAX_S
    assert date(state) + bounds.version_s >= end + bounds.contact_s - spent_s


def test_a_relayed_outage_counts_from_the_start_of_the_failed_call():
    """Guards against a grace of a region from the time-out of its reader."""

    async def test():
        now = anyio.current_time()
        reader = fleets.Fleet(DEPLOYMENT, None, revision=7, confirmed_at=now)
        reader.store_failed_at, reader.store_unreachable_at = now - 1.0, now - 2.5
        reply = change_relay._reply(reader, ttypes.NewsRequest(7, 0, 0))
        assert reply.unreachable_ms == pytest.approx(2500, abs=50)
        found = change_relay._decode_reply(reply, [], now)
        state = fleets.Fleet(DEPLOYMENT, None, revision=7, confirmed_at=now)
        await fleets._apply_reader_reply(state, found)
        assert state.store_unreachable_at == pytest.approx(now - 2.5, abs=0.05)
        assert state.store_failed_at == pytest.approx(now - 1.0, abs=0.05)
        # A reader of an earlier version does not tell it.
        reply.unreachable_ms = None
        await fleets._apply_reader_reply(
            state, change_relay._decode_reply(reply, [], now + 9.0)
        )
        assert state.store_unreachable_at == pytest.approx(now - 2.5, abs=0.05)

    anyio.run(test)


def test_an_agent_soon_learns_of_a_version_named_during_an_outage(monkeypatch):
    async def test():
        recovered_at = anyio.current_time() + 3.2

        async def list_prefix(store, prefix, **options):
            if anyio.current_time() < recovered_at:
                raise errors.StoreUnavailableError("reset", step="store.range")
            return kv.Changes(7, (version_item(2),))

        async def watch(store, prefix, after, wait_s):
            await anyio.sleep_forever()

        monkeypatch.setattr(kv, "list_prefix", list_prefix)
        monkeypatch.setattr(kv, "watch", watch)
        state = views.View(DEPLOYMENT, None, None)
        async with anyio.create_task_group() as tg:
            tg.start_soon(views.follow_versions, state)
            while "m" not in state.named:
                await anyio.sleep(0.01)
            delay_s = anyio.current_time() - recovered_at
            tg.cancel_scope.cancel()
        assert delay_s < 1.0

    anyio.run(test)
