"""Rendezvous hashing: orders of names that every process computes alike."""

import hashlib

_MASK = (1 << 64) - 1

_MULTIPLIER = 0xBF58476D1CE4E5B9
"""Odd constant of the splitmix64 finalizer (Steele, Lea and Flood, 2014)."""


def hash_of(text):
    """Return 64 bits of the SHA-256 of `text`."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")


def score(key, name):
    """Return the bytes by which `name` is ranked for `key`; the lowest is first."""
    return hashlib.sha256(f"{key}\0{name}".encode()).digest()


def mix(first, second):
    """Return 64 bits that depend on both hashes; cheaper than a SHA-256 of a pair."""
    value = (first ^ second) * _MULTIPLIER & _MASK
    value = (value ^ value >> 29) * _MULTIPLIER & _MASK
    return value ^ value >> 32


def ranked(hashes, key):
    """Return VMs in order of responsibility for `key`, the first responsible first.

    Parameters
    ----------
    hashes : dict of str to int
        VM to `hash_of` its name.
    key : int
        `hash_of` the chunk digest.

    Returns
    -------
    vms : list of str
    """
    return sorted(hashes, key=lambda vm: mix(hashes[vm], key), reverse=True)
