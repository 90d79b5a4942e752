"""Fault switches of a stand-in, set over HTTP or by a test in the same process."""

import random

import anyio
import attrs

from carobstand import errors

WRITE_METHODS = frozenset({"PUT", "POST", "DELETE", "PATCH"})
"""Methods whose answers `lose_answers` drops."""


def _share(instance, attribute, value):
    if not 0 <= value <= 1:
        raise ValueError(f"{attribute.name} must be from 0 to 1, got {value}")


def _not_negative(instance, attribute, value):
    if value < 0:
        raise ValueError(f"{attribute.name} must not be negative, got {value}")


@attrs.define(eq=False, on_setattr=attrs.setters.validate)
class Switches:
    """Faults that a stand-in shows from now on.

    Attributes
    ----------
    down : bool
        Requests are closed without an answer.
    status : int
        Every request gets this status instead of its answer; 0 is off.
    slow_s : float
        Delay before a request is processed, in seconds.
    never : bool
        Requests get no answer and their connections stay open.
    garbage : bool
        Answers carry random bytes.
    stale : bool
        Reads of the store see it as it was when this was set.
    lose_answers : int
        The next so many writes take effect and are closed without an answer.
    lose_share : float
        Share of writes that take effect and are closed without an answer.
    corrupt_share : float
        Share of bodies of weights in which one byte is changed.
    stall_share : float
        Share of bodies that stop in the middle while the connection stays open.
    crash_marker : str
        A prompt that contains it crashes the engine; empty is off.
    crash_s : float
        Time that a crashed engine stays down, in seconds.
    paths : str
        Only requests whose path starts with this are affected.
    seed : int
        Seed of the random choices.
    """

    down: bool = False
    status: int = attrs.field(default=0, converter=int, validator=_not_negative)
    slow_s: float = attrs.field(default=0.0, converter=float, validator=_not_negative)
    never: bool = False
    garbage: bool = False
    stale: bool = False
    lose_answers: int = attrs.field(default=0, converter=int, validator=_not_negative)
    lose_share: float = attrs.field(default=0.0, converter=float, validator=_share)
    corrupt_share: float = attrs.field(default=0.0, converter=float, validator=_share)
    stall_share: float = attrs.field(default=0.0, converter=float, validator=_share)
    crash_marker: str = ""
    crash_s: float = attrs.field(default=1.0, converter=float, validator=_not_negative)
    paths: str = "/"
    seed: int = attrs.field(default=1, converter=int)
    rng: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)


NAMES = tuple(field.name for field in attrs.fields(Switches) if field.init)
"""Switches that can be set."""


def reset(switches):
    """Set all switches back to no faults."""
    update(switches, {name: getattr(Switches(), name) for name in NAMES})


def update(switches, values):
    """Set the switches named in `values`, all or none of them.

    Raises
    ------
    SettingsError
        If a name is unknown or a value is not allowed.
    """
    unknown = sorted(set(values) - set(NAMES))
    if unknown:
        raise errors.SettingsError(
            f"unknown switch {unknown[0]!r}; allowed: {', '.join(NAMES)}",
            step="faults.update",
        )
    try:
        checked = Switches(**{**as_dict(switches), **values})
    except (TypeError, ValueError) as exc:
        raise errors.SettingsError(str(exc), step="faults.update") from exc
    for name in values:
        setattr(switches, name, getattr(checked, name))
    if "seed" in values:
        switches.rng = random.Random(switches.seed)


def as_dict(switches):
    """Return the switches as a dict that `update` accepts."""
    return {name: getattr(switches, name) for name in NAMES}


def applies(switches, path):
    """Return whether faults affect requests for `path`."""
    return path.startswith(switches.paths)


async def before(switches):
    """Delay or block a request as the switches say."""
    if switches.slow_s:
        await anyio.sleep(switches.slow_s)
    if switches.never:
        await anyio.sleep_forever()


def loses_answer(switches, method):
    """Return whether the answer to a processed request is dropped."""
    if method not in WRITE_METHODS:
        return False
    if switches.lose_answers > 0:
        switches.lose_answers -= 1
        return True
    return switches.rng.random() < switches.lose_share


def corrupted(switches, data):
    """Return `data`, with one byte changed in `corrupt_share` of the calls."""
    if not data or switches.rng.random() >= switches.corrupt_share:
        return data
    changed = bytearray(data)
    changed[switches.rng.randrange(len(data))] ^= 0xFF
    return bytes(changed)


def stall_point(switches, length):
    """Return the offset at which a body of `length` bytes stops, or None."""
    if not length or switches.rng.random() >= switches.stall_share:
        return None
    return switches.rng.randrange(length)


def garbage(switches):
    """Return a random body that no client can parse."""
    return b"\xff\x00" + switches.rng.randbytes(64)
