"""What one entry knows of prompt parts that may crash servers."""

import math

import attrs


@attrs.define(eq=False)
class Sightings:
    """Requests with one part that were lost at one crash.

    Attributes
    ----------
    at : float
        Time of the crash.
    requests : set of bytes
    """

    at: float
    requests: set = attrs.field(factory=set)


@attrs.define(eq=False)
class Conviction:
    """A part with which no request is sent, except trials and probes.

    Attributes
    ----------
    at : float
        Time of the conviction.
    crashes : set of bytes
        Crashes that it explains.
    known_crashes : int
        Crashes that others counted, as the record in the store tells.
    asked_at : float
        Time of the last request with it.
    is_proven : bool
        Whether callers are told not to come again.
    set_aside : dict of bytes to (dict of bytes to Sightings)
        Sightings of other parts at the crashes that it explains, by part and crash.
    trial : core.part_trials.Trial or None
        The one in progress.
    tried_at : float
        Time at which the last trial ended.
    early_trials, late_trials : int
    failures : int
        Failed trials that count as evidence.
    common : frozenset of bytes or None
        Parts without a known answer that the requests of these had in common.
    probes : int
        Number of requests sent in spite of a proven conviction.
    probed_at : float
        Time of the last of these.
    """

    at: float
    crashes: set = attrs.field(factory=set)
    known_crashes: int = 0
    asked_at: float = 0.0
    is_proven: bool = True
    set_aside: dict = attrs.field(factory=dict)
    trial: object = None
    tried_at: float = -math.inf
    early_trials: int = 0
    late_trials: int = 0
    failures: int = 0
    common: frozenset | None = None
    probes: int = 0
    probed_at: float = -math.inf


def crash_count(conviction):
    """Return the number of known crashes of servers under requests with a part."""
    return max(len(conviction.crashes), conviction.known_crashes)


@attrs.define(eq=False)
class PoisonParts:
    """What one entry knows of prompt parts, by identifier.

    Attributes
    ----------
    suspects : dict of bytes to (dict of bytes to Sightings)
        Sightings by crash.
    convicted : dict of bytes to Conviction
    sound_at : dict of bytes to float
        Time of the last answer, the most recent last.
    crashes : dict of bytes to float
        Times of the last known crashes, whatever ran there.
    """

    suspects: dict = attrs.field(factory=dict)
    convicted: dict = attrs.field(factory=dict)
    sound_at: dict = attrs.field(factory=dict)
    crashes: dict = attrs.field(factory=dict)
