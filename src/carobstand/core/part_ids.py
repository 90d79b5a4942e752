"""Identifiers of prompt parts, requests and crashes, equal at every entry."""

import hashlib

ID_BYTES = 8
"""Length of digests that identify parts, requests and crashes."""


def digest(text):
    """Return the identifier of a part, request or crash, `ID_BYTES` long."""
    return hashlib.sha256(text.encode()).digest()[:ID_BYTES]


def crash_id(address, start):
    """Return the identifier of a crash, equal at every entry.

    Parameters
    ----------
    address : str
        ``host:port`` of the server; the first `ID_BYTES` identify it.
    start : str
        Identifies the start of the server that ended.
    """
    return digest(address) + digest(start)


def shareable(prompt_parts):
    """Return the identifiers of the parts of a prompt that may crash servers.

    The last part belongs to its request or session alone, and is left out.
    """
    return tuple(digest(part) for part in prompt_parts[:-1])


def whole(target, customer, body):
    """Return the identifier of a request as a whole, equal for callers' retries.

    Parameters
    ----------
    target, customer, body : bytes
    """
    fields = (target, customer, body)
    sizes = b"".join(len(field).to_bytes(8, "big") for field in fields)
    return hashlib.sha256(b"request" + sizes + b"".join(fields)).digest()[:ID_BYTES]


def run_begun(request):
    """Return the identifier of a run of a whole request whose answer had begun.

    It stands among the requests of a sighting instead of the request itself.
    """
    return hashlib.sha256(b"begun" + request).digest()[:ID_BYTES]
