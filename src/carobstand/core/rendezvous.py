"""Rendezvous hashing: every process computes the same order of names for a key."""

import hashlib

_MASK = (1 << 64) - 1

_MULTIPLIER = 0xBF58476D1CE4E5B9
"""Odd constant of the splitmix64 finalizer (Steele, Lea and Flood, 2014)."""


def hash_of(text):
    """Return 64 bits of the SHA-256 of `text`."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")


def score(key, name):
    """Return the sort key of `name` for `key`; the lowest value ranks first."""
    return hashlib.sha256(f"{key}\0{name}".encode()).digest()


def mix(first, second):
    """Combine two hashes into 64 bits; cheaper than SHA-256 over the pair."""
    value = (first ^ second) * _MULTIPLIER & _MASK
    value = (value ^ value >> 29) * _MULTIPLIER & _MASK
    return value ^ value >> 32


def ranked(hashes, key):
    """Return VMs in order of responsibility for `key`, the first responsible first.

    Parameters
    ----------
    hashes : dict of str to int
        `hash_of` the name of each VM.
    key : int
        `hash_of` the chunk digest.

    Returns
    -------
    vms : list of str
    """
    return sorted(hashes, key=lambda vm: mix(hashes[vm], key), reverse=True)
