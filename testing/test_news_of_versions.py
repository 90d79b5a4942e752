"""Time from which a weight version counts as named, however late the change arrives."""

import anyio
import pytest

from carobstand import errors
from carobstand.agent import view as views
from carobstand.core import deployment, registry
from carobstand.entry import fleet as fleets
from carobstand.entry import versions
from carobstand.platform import kv
from testing import platform_builders as build

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


def test_a_version_behind_a_large_configuration_is_dated_before_its_response(answers):
    async def test():
        began = anyio.current_time()
        state = fleets.Fleet(DEPLOYMENT, None, revision=1, changes_since=began)
        answers.append((0.6, 0.4, [version_item(2)]))
        await fleets._follow(state)
        # The head may have been delayed for longer than the rest took.
        assert state.named["m"][0].seen_at == pytest.approx(began, abs=0.04)

    anyio.run(test)


def test_a_version_on_a_slow_link_is_dated_at_the_last_confirmation(answers):
    async def test():
        began = anyio.current_time()
        state = fleets.Fleet(DEPLOYMENT, None, revision=1, changes_since=began - 9.0)
        other = kv.Item("other/a", b"{}", revision=2)
        answers.extend([(0.1, 0.4, [other]), (0.6, 0.0, [version_item(2)])])
        await fleets._follow(state)
        await fleets._follow(state)
        assert state.named["m"][0].seen_at == pytest.approx(began, abs=0.04)

    anyio.run(test)


def test_a_version_on_a_fast_link_is_dated_at_its_response(answers):
    async def test():
        began = anyio.current_time()
        state = fleets.Fleet(DEPLOYMENT, None, revision=1, changes_since=began - 9.0)
        answers.append((0.6, 0.0, [version_item(2)]))
        await fleets._follow(state)
        assert state.named["m"][0].seen_at == pytest.approx(began + 0.6, abs=0.04)

    anyio.run(test)


def test_a_version_batched_in_a_pause_is_dated_at_the_previous_response(answers):
    async def test():
        state = fleets.Fleet(DEPLOYMENT, None, revision=1)
        answers.extend([(0.1, 0.0, [version_item(2)]), (0.0, 0.0, [version_item(3)])])
        began = anyio.current_time()
        await fleets._follow(state)
        await fleets._follow(state)
        assert state.named["m"][1].seen_at == pytest.approx(began + 0.1, abs=0.04)

    anyio.run(test)


def test_after_an_outage_old_weights_serve_until_the_time_limits_apply_again(answers):
    async def test():
        state = fleets.Fleet(DEPLOYMENT, None, revision=1)
        now = anyio.current_time()
        state.changes_since, state.store_failed_at = now - 60.0, now - 0.1
        answers.append((0.0, 0.0, [version_item(2)]))
        await fleets._follow(state)
        bounds = DEPLOYMENT.bounds
        holding = registry.Holding(model="m", version=1)
        end = versions.begin_by(state, holding) - now
        slack_s = versions.VERSION_SLACK_S
        assert end == pytest.approx(bounds.contact_s - 0.1 - slack_s, abs=0.05)

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
