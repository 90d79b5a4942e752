"""Parsers of setting values.

Each parser converts text to a value, or raises ValueError with a message that says what
is allowed.
"""

import contextlib
import ipaddress
import re
import urllib.parse

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


def name(text):
    """Parse a name that is valid in the table and the VM list."""
    if not _NAME.fullmatch(text):
        raise ValueError("a name of letters, digits, '.', '_' and '-'")
    return text


def names(text):
    """Parse names separated by commas."""
    return tuple(name(part.strip()) for part in text.split(","))


def path(text):
    """Parse a file path."""
    if not text or "\0" in text:
        raise ValueError("a file path")
    return text


def free_text(text):
    """Parse one printable line."""
    if not text.strip() or not text.isprintable():
        raise ValueError("a line of printable text")
    return text


def address(text):
    """Parse ``host:port`` with an IP address; port 0 is any free port."""
    allowed = "an IP address and port, for example 10.1.2.3:7000 or [fd00::1]:7000"
    host, sep, port = text.rpartition(":")
    try:
        parsed = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(allowed) from None
    bracketed = host.startswith("[") and host.endswith("]")
    if not sep or bracketed != (parsed.version == 6):
        raise ValueError(allowed)
    if not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(allowed)
    return text


def reachable_address(text):
    """Parse an address that others can connect to: no wildcard, no port 0."""
    host, port = address(text).rsplit(":", 1)
    if int(port) == 0 or ipaddress.ip_address(host.strip("[]")).is_unspecified:
        raise ValueError("an IP address and port at which other processes connect")
    return text


def addresses(text):
    """Parse addresses separated by commas."""
    return tuple(reachable_address(part.strip()) for part in text.split(","))


def loopback(text):
    """Parse a loopback address and port."""
    host = address(text).rsplit(":", 1)[0].strip("[]")
    if not ipaddress.ip_address(host).is_loopback:
        raise ValueError("a loopback address and port, for example 127.0.0.1:7100")
    return text


def url(text):
    """Parse an HTTP or HTTPS URL without query and fragment."""
    allowed = "a URL such as http://10.1.2.3:8080"
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        raise ValueError(allowed) from None
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        raise ValueError(allowed)
    if any(char.isspace() for char in text) or parts.query or parts.fragment:
        raise ValueError(allowed)
    return text.rstrip("/")


def integer(low, high):
    """Return a parser of integers from `low` to `high`."""

    def parse(text):
        if not re.fullmatch(r"-?[0-9]{1,18}", text) or not low <= int(text) <= high:
            raise ValueError(f"a whole number from {low} to {high}")
        return int(text)

    return parse


def number(low, high):
    """Return a parser of numbers from `low` to `high`."""

    def parse(text):
        with contextlib.suppress(ValueError):
            if low <= float(text) <= high:
                return float(text)
        raise ValueError(f"a number from {low:g} to {high:g}")

    return parse


def choice(*options):
    """Return a parser that accepts only `options`."""

    def parse(text):
        if text not in options:
            raise ValueError(" or ".join(options))
        return text

    return parse


def boolean(text):
    """Parse an on/off value."""
    values = {"1": True, "true": True, "0": False, "false": False}
    if text.lower() not in values:
        raise ValueError("1, 0, true or false")
    return values[text.lower()]
