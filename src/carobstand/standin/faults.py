"""Fault injection of a stand-in, set over HTTP or by a test in the same process."""

import random

import anyio
import attrs

from carobstand import errors

WRITE_METHODS = frozenset({"PUT", "POST", "DELETE", "PATCH"})
"""Methods whose responses `lose_answers` and `lose_share` drop."""


def _check_share(instance, attribute, value):
    if not 0 <= value <= 1:
        raise ValueError(f"{attribute.name} must be from 0 to 1, got {value}")


def _check_not_negative(instance, attribute, value):
    if value < 0:
        raise ValueError(f"{attribute.name} must not be negative, got {value}")


@attrs.define(eq=False, on_setattr=attrs.setters.validate)
class Switches:
    """Faults that a stand-in injects.

    Attributes
    ----------
    down : bool
        Connections of requests are closed without a response.
    status : int
        Status of the response to every request; 0 disables this fault.
    slow_s : float
        Delay before a request is processed, in seconds.
    never : bool
        Requests get no response and their connections stay open.
    garbage : bool
        Response bodies are random bytes.
    stale : bool
        Reads of the store return a snapshot from the first request after this is set.
    lose_answers : int
        Number of next writes that take effect but get no response; the connection is
        closed.
    lose_share : float
        Share of writes that take effect but get no response.
    corrupt_share : float
        Share of bodies of weights in which one byte is changed.
    stall_share : float
        Share of response bodies that stop in the middle while the connection stays
        open.
    crash_marker : str
        A prompt that contains this text crashes the engine; empty disables it.
    crash_s : float
        Time for which a crashed stand-in stays down, in seconds.
    paths : str
        Only requests whose path starts with this are affected.
    seed : int
        Seed of the random choices.
    """

    down: bool = False
    status: int = attrs.field(default=0, converter=int, validator=_check_not_negative)
    slow_s: float = attrs.field(
        default=0.0, converter=float, validator=_check_not_negative
    )
    never: bool = False
    garbage: bool = False
    stale: bool = False
    lose_answers: int = attrs.field(
        default=0, converter=int, validator=_check_not_negative
    )
    lose_share: float = attrs.field(
        default=0.0, converter=float, validator=_check_share
    )
    corrupt_share: float = attrs.field(
        default=0.0, converter=float, validator=_check_share
    )
    stall_share: float = attrs.field(
        default=0.0, converter=float, validator=_check_share
    )
    crash_marker: str = ""
    crash_s: float = attrs.field(
        default=1.0, converter=float, validator=_check_not_negative
    )
    paths: str = "/"
    seed: int = attrs.field(default=1, converter=int)
    rng: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)


NAMES = tuple(field.name for field in attrs.fields(Switches) if field.init)
"""Names of the switches that can be set."""


def reset(switches):
    """Reset all switches to their defaults, which inject no faults."""
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


async def delay_or_block(switches):
    """Delay a request by `slow_s`, and block it forever if `never` is set."""
    if switches.slow_s:
        await anyio.sleep(switches.slow_s)
    if switches.never:
        await anyio.sleep_forever()


def drops_response(switches, method):
    """Return whether the response to a processed request is dropped."""
    if method not in WRITE_METHODS:
        return False
    if switches.lose_answers > 0:
        switches.lose_answers -= 1
        return True
    return switches.rng.random() < switches.lose_share


def maybe_corrupt(switches, data):
    """Return `data`, with one byte changed in `corrupt_share` of the calls."""
    if not data or switches.rng.random() >= switches.corrupt_share:
        return data
    changed = bytearray(data)
    changed[switches.rng.randrange(len(data))] ^= 0xFF
    return bytes(changed)


def stall_offset(switches, length):
    """Return the offset at which a body of `length` bytes or events stalls, or None."""
    if not length or switches.rng.random() >= switches.stall_share:
        return None
    return switches.rng.randrange(length)


def garbage(switches):
    """Return a random body that no client can parse."""
    return b"\xff\x00" + switches.rng.randbytes(64)
