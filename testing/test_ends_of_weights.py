"""Attempts on outdated weights that wait at a server or on their way to it."""

import anyio
import attrs
import pytest

from carobstand import http1_server
from carobstand.core import eligibility, named_versions, placement, registry
from carobstand.entry import backend_pool, forwarding, store_items, versions
from testing import domain_fleet, version_store, virtual_time

NAMED_AT = 2.0
END = NAMED_AT + 8.0


@attrs.define
class Seen:
    """Times at which the server received the request and the end of its connection."""

    sent_at: float | None = None
    closed_at: float | None = None


def attempt(monkeypatch, at, connect_s=0.0, later=None):
    """Send one request at `at` to a server of version 1; return what it saw.

    Version 2 is named at `NAMED_AT`. The server never begins the request.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
    at, connect_s : float
    later : (float, callable of (entry.fleet.Fleet)) or None
        What happens at a time, before the end of the weights.
    """
    seen = Seen()

    async def acquire(*args):
        await anyio.sleep(connect_s)
        return forwarding.http1.Connection(None, "10.0.0.9:1")

    async def send_request(*args):
        seen.sent_at = anyio.current_time()

    async def receive(*args):
        await anyio.sleep_forever()

    async def discard(*args):
        seen.closed_at = anyio.current_time()

    # The call has no connection of a caller; its caller stays.
    monkeypatch.setattr(http1_server, "has_caller_left", lambda reply: False)
    monkeypatch.setattr(backend_pool, "acquire", acquire)
    monkeypatch.setattr(backend_pool, "put_back", lambda *args: None)
    monkeypatch.setattr(backend_pool, "discard", discard)
    monkeypatch.setattr(forwarding, "_send_request", send_request)
    monkeypatch.setattr(forwarding.streams, "receive_unless_stalled", receive)

    async def change(fleet):
        await anyio.sleep_until(NAMED_AT)
        fleet.changes_since = NAMED_AT
        store_items.apply_item(fleet, version_store.item(2))
        if later is not None:
            await anyio.sleep_until(later[0])
            later[1](fleet)

    async def run():
        fwd = domain_fleet.forwarder({"i-1": "a"})
        fwd.fleet.revision = 1
        server = fwd.fleet.servers.servers["i-1"]
        holding = registry.Holding(model="m", version=1)
        candidate = eligibility.Candidate(server, holding, None, 1.0)
        chosen = placement.Choice(candidate, 0.1, 0.0, 0, 0.1, 0.0, (0.0, 0.0))
        async with anyio.create_task_group() as tg:
            tg.start_soon(change, fwd.fleet)
            await anyio.sleep_until(at)
            with anyio.move_on_after(20.0):
                await forwarding._send(fwd, domain_fleet.call(), chosen)
        assert not fwd.waiting_attempts
        return seen

    return virtual_time.run(run)


@pytest.mark.parametrize("at", [0.0, NAMED_AT - 0.1, NAMED_AT + 1.0, END - 0.4])
def test_an_attempt_is_withdrawn_at_the_end_whenever_it_was_sent(monkeypatch, at):
    """Guards against an attempt from before the naming that waits without an end."""
    seen = attempt(monkeypatch, at)
    assert seen.sent_at == at
    assert END - versions.VERSION_SLACK_S <= seen.closed_at <= END


def test_nothing_is_sent_after_the_end_though_a_server_was_chosen_before(monkeypatch):
    """Guards against a request sent at once when a connection opened after the end."""
    for connect_s in (0.4, 1.0):
        assert attempt(monkeypatch, END - 0.4, connect_s).sent_at is None


def test_an_attempt_follows_a_date_that_becomes_earlier(monkeypatch):
    """Guards against an end as it was known when the attempt was sent."""

    def correct(fleet):
        fleet.own_dates["m"][2] = named_versions.OwnDate(NAMED_AT - 1.5)
        versions._redate(fleet, "m")

    seen = attempt(monkeypatch, NAMED_AT + 1.0, later=(NAMED_AT + 3.0, correct))
    assert seen.closed_at <= END - 1.5
