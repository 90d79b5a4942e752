"""Fresh reports of the engine: for the agent itself and, by datagram, for entries."""

import anyio

from carobstand import errors, eventlog
from carobstand.core import deployment
from carobstand.platform import engines
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

POLL_S = 0.1
"""Interval between reports of the engine, which are free on its own VM."""

REPEAT_S = 0.5
"""An unchanged report is sent again after this, as datagrams may be lost."""

SILENT_S = 0.6
"""Time without an answer after which the last report no longer counts."""


async def run(view):
    """Read reports and send them to all entries until cancelled."""
    async with await anyio.create_udp_socket(local_host=view.deployment.ip) as udp:
        number, sent, sent_at, heard_at = 0, None, 0.0, 0.0
        while True:
            now = anyio.current_time()
            try:
                report = await engines.report(view.engine)
                heard_at = now
                _keep(view, report)
            except errors.BackendError as exc:
                report = None
                if view.report is not None and now - heard_at > SILENT_S:
                    eventlog.event("engine.silent", error=str(exc))
                    view.report = None
            if report is not None and (report != sent or now - sent_at >= REPEAT_S):
                number = max(number + 1, int(now * 1000))
                await _send(view, udp, report, number)
                sent, sent_at = report, now
            await anyio.sleep(POLL_S)


def _keep(view, report):
    before, view.report = view.report, report
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


async def _send(view, udp, report, number):
    holding = report.holding
    load_in_ms = -1
    if view.load_at is not None:
        load_in_ms = max(0, int((view.load_at - anyio.current_time()) * 1000))
    message = ttypes.EngineLoad(
        address=view.deployment.backend_address,
        started_ms=report.started_ms,
        number=number,
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
    for entry in list(view.entries.values()):
        host, port = deployment.split_address(entry.address)
        try:
            await udp.sendto(raw, host, port)
        except OSError as exc:
            eventlog.debug("report.unsent", peer=entry.address, error=str(exc))
