"""Fresh reports of the engine: for the agent itself and, by datagram, for entries."""

import anyio
import attrs

from carobstand import errors, eventlog
from carobstand.core import deployment, report_pacing
from carobstand.platform import engines
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

POLL_S = 0.1
MAX_POLL_S = 0.25
"""Interval between reports of the engine, which are free on its own VM, and the longest
one while they do not change."""

POLL_GROWTH = 1.5
"""Factor by which the interval grows with each report that is like the one before."""

SILENT_S = 0.6
"""Time without an answer after which the last report no longer counts."""


@attrs.define(eq=False)
class Sender:
    """What this agent sent last to entries near and far.

    Attributes
    ----------
    udp : anyio UDP socket
    number : int
        Number of the last report; they rise, also over restarts of the agent.
    near, far : core.report_pacing.LastReport
        To entries of the own region, and of all others.
    """

    udp: object
    number: int = 0
    near: report_pacing.LastReport = attrs.field(factory=report_pacing.LastReport)
    far: report_pacing.LastReport = attrs.field(factory=report_pacing.LastReport)


async def run(view):
    """Read reports and send them to entries until cancelled."""
    async with await anyio.create_udp_socket(local_host=view.deployment.ip) as udp:
        sender, heard_at, pause_s = Sender(udp), 0.0, POLL_S
        while True:
            now, before = anyio.current_time(), view.report
            try:
                report = await engines.report(view.engine)
                heard_at = now
                _keep(view, report)
                await _share(view, sender, report, now)
            except errors.BackendError as exc:
                if view.report is not None and now - heard_at > SILENT_S:
                    eventlog.event("engine.silent", error=str(exc))
                    view.report = None
            is_same = view.report == before and not (before and before.is_busy)
            pause_s = min(MAX_POLL_S, pause_s * POLL_GROWTH) if is_same else POLL_S
            await anyio.sleep(pause_s)


async def _share(view, sender, report, now):
    """Send a report to the entries for which it is due."""
    region = view.deployment.region
    near = [entry for entry in view.entries.values() if entry.region == region]
    far = [entry for entry in view.entries.values() if entry.region != region]
    near_s = report_pacing.region_interval_s(len(near))
    due = []
    loads_at = view.load_at
    if report_pacing.is_due(sender.near, report, loads_at, near_s, 1, now):
        due += near
        sender.near = report_pacing.LastReport(report, loads_at, now)
    far_s, step = (
        report_pacing.OTHER_REGION_INTERVAL_S,
        report_pacing.OTHER_REGION_MIN_CHANGE,
    )
    if report_pacing.is_due(sender.far, report, loads_at, far_s, step, now):
        due += far
        sender.far = report_pacing.LastReport(report, loads_at, now)
    if due:
        sender.number = max(sender.number + 1, int(now * 1000))
        await _send(view, sender, report, due)


def _keep(view, report):
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
        )
        view.changed.notify()


async def _send(view, sender, report, entries):
    holding = report.holding
    load_in_ms = -1
    if view.load_at is not None:
        load_in_ms = max(0, int((view.load_at - anyio.current_time()) * 1000))
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
    )
    raw = fleet_codec.encode(message)
    for entry in entries:
        host, port = deployment.split_address(entry.address)
        try:
            await sender.udp.sendto(raw, host, port)
        except OSError as exc:
            eventlog.debug("report.unsent", peer=entry.address, error=str(exc))
