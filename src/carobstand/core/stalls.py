"""How long a server has been silent, without the pauses of this process.

Load pattern: machines that are shared, where a process may get no processor time for a
second. Its timers then expire before it has read what servers sent meanwhile.
"""

WAITS = 4
"""Waits into which the time until a stall is divided. One that lasts longer than it was
set for counts as if it had not, so a pause adds at most a fourth of that time."""


def next_wait_s(silent_s, stall_s):
    """Return the time to wait for a server; it then adds to its silence.

    Parameters
    ----------
    silent_s : float
        Silence of the server so far.
    stall_s : float
        Silence from which it has stalled.

    Returns
    -------
    wait_s : float
        0 if it has stalled, unless it sent something that was not read yet.
    """
    return max(0.0, min(stall_s / WAITS, stall_s - silent_s))


def is_stalled(silent_s, stall_s):
    """Whether a server has stalled; allows for rounding of the sum of waits."""
    return silent_s >= stall_s - 1e-6
