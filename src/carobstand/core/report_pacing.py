"""Which reports of an engine are worth sending to which entries.

Load pattern: many engines and entries under load, where each engine's numbers change at
each look. If all of them went to all entries, messages would grow with the product of
both, and most would change no choice: requests rarely cross a region's costly link.
"""

import attrs

NEAR_INTERVAL_S = 0.1
"""Shortest time between two reports of load to the entries of the own region."""

NEAR_ENTRY_S = 0.02
"""Time for each entry of the region by which that interval is longer at least."""

FAR_INTERVAL_S = 0.3
"""Shortest time between two reports of load to entries of other regions."""

FAR_STEP = 2
"""Change of an engine's requests that is reported to other regions."""

MOVED_S = 0.1
"""Change of the time of a load that is reported at once."""

REPEAT_S = 0.5
"""An unchanged report is sent again after this, as datagrams may be lost."""


@attrs.define
class Sent:
    """Last report to a group of entries, the load that it announced, and its time."""

    report: object = None
    loads_at: float | None = None
    at: float = 0.0


def near_interval_s(entries):
    """Return the interval of reports to `entries` entries of the own region."""
    return min(REPEAT_S, max(NEAR_INTERVAL_S, NEAR_ENTRY_S * entries))


def is_due(sent, report, loads_at, interval_s, step, now):
    """Whether a report goes to a group of entries now.

    Parameters
    ----------
    sent : Sent
    report : core.engine_report.EngineReport
    loads_at : float or None
        When the engine will be ordered to load weights, if that is near.
    interval_s : float
        Shortest time between two reports of a changed load.
    step : int
        Change of the load that is reported.
    now : float
    """
    before = sent.report
    if before is None or _state(before) != _state(report):
        return True
    if _has_moved(sent.loads_at, loads_at):
        return True
    if now - sent.at >= REPEAT_S:
        return True
    moved = abs(_requests(report) - _requests(before))
    return moved >= step and now - sent.at >= interval_s


def _has_moved(before, after):
    if before is None or after is None:
        return before is not after
    return abs(after - before) > MOVED_S


def _state(report):
    return report.started_ms, report.is_busy, report.holding


def _requests(report):
    return report.running + report.waiting
