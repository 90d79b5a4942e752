"""Polls the engine's report and sends it to entries by UDP datagram."""

import anyio
import attrs

from carobstand import errors, eventlog
from carobstand.agent import view as views
from carobstand.core import deployment, report_pacing, weight_copy
from carobstand.platform import engine_client
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

POLL_S = 0.1
MAX_POLL_S = 0.25
"""Shortest and longest interval between polls of the engine. Polls are free on its own
VM; the interval grows while reports do not change."""

POLL_GROWTH = 1.5
"""Factor by which the interval grows with each unchanged report."""

REPORT_TIMEOUT_S = 0.6
"""Time without a response after which the last report is discarded as outdated."""


@attrs.define(eq=False)
class Sender:
    """State of the reports that this agent sends to entries.

    Attributes
    ----------
    udp : anyio UDP socket
    number : int
        Number of the last report; increases also across restarts of the agent.
    near, far : core.report_pacing.LastReport
        Last report sent to entries of the own region, and of all other regions.
    target : int or None
        Version that was being received as of the last report.
    """

    udp: object
    number: int = 0
    near: report_pacing.LastReport = attrs.field(factory=report_pacing.LastReport)
    far: report_pacing.LastReport = attrs.field(factory=report_pacing.LastReport)
    target: int | None = None


async def run(view):
    """Poll the engine and send its reports to entries until cancelled."""
    async with await anyio.create_udp_socket(local_host=view.deployment.ip) as udp:
        sender, reported_at, pause_s = Sender(udp), 0.0, POLL_S
        while True:
            now, before = anyio.current_time(), view.report
            try:
                report = await engine_client.fetch_report(view.engine)
                reported_at = now
                _store_report(view, report)
                await _send_due(view, sender, report, now)
            except errors.BackendError as exc:
                if view.report is not None and now - reported_at > REPORT_TIMEOUT_S:
                    eventlog.event("engine.silent", error=str(exc))
                    view.report = None
            is_same = view.report == before and not (before and before.is_busy)
            pause_s = min(MAX_POLL_S, pause_s * POLL_GROWTH) if is_same else POLL_S
            await anyio.sleep(pause_s)


async def _send_due(view, sender, report, now):
    """Send a report to the entries to which one is due."""
    region = view.deployment.region
    near = [entry for entry in view.entries.values() if entry.region == region]
    far = [entry for entry in view.entries.values() if entry.region != region]
    near_s = report_pacing.region_interval_s(len(near))
    due = []
    loads_at = view.load_at
    # Entries fetch first the version that agents receive.
    is_switched = view.target != sender.target
    if is_switched or report_pacing.is_due(
        sender.near, report, loads_at, near_s, 1, now
    ):
        due += near
        sender.near = report_pacing.LastReport(report, loads_at, now)
    far_s, step = (
        report_pacing.OTHER_REGION_INTERVAL_S,
        report_pacing.OTHER_REGION_MIN_CHANGE,
    )
    if is_switched or report_pacing.is_due(
        sender.far, report, loads_at, far_s, step, now
    ):
        due += far
        sender.far = report_pacing.LastReport(report, loads_at, now)
    sender.target = view.target
    if due:
        sender.number = max(sender.number + 1, int(now * 1000))
        await _send(view, sender, report, due)


def _store_report(view, report):
    before, view.report, view.last_report = view.report, report, report
    if before is None or before.started_ms != report.started_ms:
        eventlog.event("engine.started", started_ms=report.started_ms)
    if before is None or (before.holding, before.is_busy) != (
        report.holding,
        report.is_busy,
    ):
        holding = report.holding
        eventlog.event(
            "engine.weights",
            version=holding and holding.version,
            busy=report.is_busy,
            running=report.running,
            waiting=report.waiting,
            memory_tokens=report.memory_tokens,
        )
        view.changed.notify()


def _named_ago_ms(view):
    """Return how long ago versions were named, while that may matter to entries."""
    service = views.service(view)
    if service is None:
        return {}
    now, allowed_s = anyio.current_time(), view.deployment.bounds.version_s
    return {
        version: int((now - at) * 1000)
        for (model, version), at in view.witnessed.items()
        if model == service.weights.models[0] and now - at < allowed_s
    }


async def _send(view, sender, report, entries):
    holding = report.holding
    load_in_ms = -1
    if view.load_at is not None:
        load_in_ms = max(0, int((view.load_at - anyio.current_time()) * 1000))
    receiving, receiving_version = view.copies.get(view.target), view.target
    if receiving is not None and weight_copy.is_complete(receiving):
        receiving = receiving_version = None
    complete = [v for v, copy in view.copies.items() if weight_copy.is_complete(copy)]
    message = ttypes.EngineLoad(
        address=view.deployment.backend_address,
        started_ms=report.started_ms,
        number=sender.number,
        running=report.running,
        waiting=report.waiting,
        slowness=report.slowness,
        busy=report.is_busy,
        model=holding and holding.model,
        version=holding and holding.version,
        first_layer=holding and holding.start,
        end_layer=holding and holding.end,
        load_in_ms=load_in_ms,
        held_tokens=report.held_tokens,
        receiving_version=receiving_version,
        receiving_pieces=receiving and len(receiving.pieces),
        copies=sorted(complete) or None,
        named_ago_ms=_named_ago_ms(view) or None,
    )
    raw = fleet_codec.encode(message)
    for entry in entries:
        host, port = deployment.split_address(entry.address)
        try:
            await sender.udp.sendto(raw, host, port)
        except OSError as exc:
            eventlog.debug("report.unsent", peer=entry.address, error=str(exc))
