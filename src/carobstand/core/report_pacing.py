"""Rate limits for the reports that an engine sends to entries.

Under load the state of an engine changes at each poll. If every engine sent every
change to every entry, the number of messages would grow with the product of both. Most
messages would not affect routing, as requests rarely cross the costly link of a region.
"""

import attrs

REGION_INTERVAL_S = 0.1
"""Shortest time between two load reports to entries of the engine's region."""

REGION_ENTRY_S = 0.02
"""Time that each entry of the region adds to the minimum of that interval."""

OTHER_REGION_INTERVAL_S = 0.3
"""Shortest time between two load reports to entries of other regions."""

OTHER_REGION_MIN_CHANGE = 2
"""Smallest change in the number of requests that is reported to other regions."""

MIN_SLOWNESS_CHANGE = 0.1
"""Smallest change of an engine's slowness, relative to the one last sent, that is
reported. Smaller ones change the predicted first event by less than its usual error."""

MIN_LOAD_SHIFT_S = 0.1
"""A shift of the time of a weight load by more than this is reported at once."""

REPEAT_S = 0.5
"""An unchanged report is repeated after this time, as datagrams may be lost."""


@attrs.define
class LastReport:
    """The last report to a group of entries.

    `loads_at` is the time of the weight load that it announced, None if none is near;
    `sent_at` is when it was sent.
    """

    report: object = None
    loads_at: float | None = None
    sent_at: float = 0.0


def region_interval_s(entries):
    """Return the report interval for `entries` entries of the engine's region."""
    return min(REPEAT_S, max(REGION_INTERVAL_S, REGION_ENTRY_S * entries))


def is_due(sent, report, loads_at, interval_s, min_change, now):
    """Whether a report is to be sent to a group of entries now.

    Parameters
    ----------
    sent : LastReport
        The last report to the group.
    report : core.engine_report.EngineReport
    loads_at : float or None
        When the engine will be ordered to load weights; None if that is not near.
    interval_s : float
        Shortest time between two reports of a changed load or slowness.
    min_change : int
        Smallest change in the number of requests that is reported.
    now : float
    """
    before = sent.report
    if before is None or _state(before) != _state(report):
        return True
    if _has_shifted(sent.loads_at, loads_at):
        return True
    if now - sent.sent_at >= REPEAT_S:
        return True
    if now - sent.sent_at < interval_s:
        return False
    change = abs(_requests(report) - _requests(before))
    return change >= min_change or _has_other_speed(before, report)


def _has_other_speed(before, report):
    change = abs(report.slowness - before.slowness)
    return change >= MIN_SLOWNESS_CHANGE * before.slowness


def _has_shifted(before, after):
    if before is None or after is None:
        return before is not after
    return abs(after - before) > MIN_LOAD_SHIFT_S


def _state(report):
    return report.started_ms, report.is_busy, report.holding


def _requests(report):
    return report.running + report.waiting
