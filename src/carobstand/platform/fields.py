"""Typed access to the fields of the platform's JSON records.

Each accessor has bounds: what it returns can be used in all arithmetic, in headers, in
log lines and in messages between processes. Other writers than operators and engines
may write records, and one odd record must cost only itself.
"""

import json
import re
import reprlib

from carobstand import errors
from carobstand.core import deployment

MAX_COUNT = 2**31 - 1
"""Largest count or version: messages between processes carry these as an i32."""

MAX_INTEGER = 2**53
"""Largest other integer, such as Unix milliseconds or a size in bytes. Larger ones are
not exact as floating-point numbers, and one of 400 digits cannot be converted."""

MAX_REVISION = 2**63 - 1
"""Largest revision, era or lease of the store: messages carry these as an i64."""

MAX_NUMBER = 1e15
"""Largest number with a fraction. The product of some of them and of the largest counts
is finite, and its conversion to an integer does not fail."""

MAX_NAME_CHARS = 200
"""Longest name; keys of the store are at most as long."""

MAX_TEXT_CHARS = 4096
"""Longest other text, such as a path or an API key; a header of 8 KB holds it."""

MAX_DEPTH = 32
"""Deepest nesting of a record; those of the platform have less than 8 levels. With a
thousand levels, what walks through a record fails even where decoding it succeeded."""

_UNPRINTABLE = re.compile("[\x00-\x1f\x7f-\x9f\ud800-\udfff]")
"""Control characters, which end a header or a line, and halves of surrogate pairs,
which UTF-8 cannot encode."""


class Record:
    """One JSON object whose fields are read with their types and bounds checked.

    Parameters
    ----------
    data : dict
    step : str
        Name of what is decoded, for errors.

    Raises
    ------
    RecordError
        By each method, if the field is missing and has no default, has another type or
        is out of bounds. The message names the field.
    """

    def __init__(self, data, step):
        if not isinstance(data, dict):
            raise errors.RecordError("not a JSON object", step=step)
        self.data = data
        self.step = step

    def error(self, name, allowed):
        """Return the RecordError that a field's value is not what is allowed."""
        value = reprlib.repr(self.data.get(name))
        message = f"{name}: {value:.80} is not {allowed}"
        return errors.RecordError(message, step=self.step)

    def _get(self, name, kinds, allowed, default):
        value = self.data.get(name)
        if value is None:
            if default is _REQUIRED:
                raise errors.RecordError(f"{name} is missing", step=self.step)
            return default
        if not isinstance(value, kinds) or (
            isinstance(value, bool) and bool not in kinds
        ):
            raise self.error(name, allowed)
        return value

    def any_text(self, name):
        """Return a required string of any length and content."""
        return self._get(name, (str,), "a string", _REQUIRED)

    def text(self, name, default=None, most=MAX_TEXT_CHARS):
        """Return a printable string; `default` None means that it is required."""
        default = _REQUIRED if default is None else default
        value = self._get(name, (str,), "a string", default)
        if not is_printable(value, most):
            raise self.error(name, f"printable text of at most {most} characters")
        return value

    def name(self, name, default=None):
        """Return a name that a header can carry; `default` None: it is required.

        It may be empty if the default is.
        """
        required = _REQUIRED if default is None else default
        value = self._get(name, (str,), "a string", required)
        if value != default and not is_name(value):
            raise self.error(name, "a name without blanks around it")
        return value

    def address(self, name):
        """Return the required ``IP:PORT`` of a process."""
        value = self.text(name, most=MAX_NAME_CHARS)
        if not deployment.is_address(value):
            raise self.error(name, "IP:PORT")
        return value

    def number(self, name, default=None, least=0, most=MAX_NUMBER):
        """Return a finite int or float; `default` None means that it is required."""
        default = _REQUIRED if default is None else default
        value = self._get(name, (int, float), "a number", default)
        if not least <= value <= most:
            raise self.error(name, f"a number from {least} to {most:g}")
        return value

    def seconds(self, name, default_ms=None):
        """Return a field in milliseconds, converted to seconds."""
        return self.number(name, default_ms) / 1000

    def integer(self, name, default=None, least=0, most=MAX_COUNT):
        """Return an int; `default` None means that the field is required."""
        default = _REQUIRED if default is None else default
        value = self._get(name, (int,), "an integer", default)
        if not least <= value <= most:
            raise self.error(name, f"an integer from {least} to {most}")
        return value

    def flag(self, name, default=False):
        """Return a bool."""
        return self._get(name, (bool,), "a boolean", default)

    def items(self, name):
        """Return a list, empty if the field is missing."""
        return self._get(name, (list,), "a list", [])

    def records(self, name):
        """Return the objects of a list, empty if the field is missing."""
        return [Record(item, f"{self.step}.{name}") for item in self.items(name)]

    def record(self, name):
        """Return an object, empty if the field is missing."""
        value = self._get(name, (dict,), "an object", {})
        return Record(value, f"{self.step}.{name}")


_REQUIRED = object()


def is_printable(text, most=MAX_TEXT_CHARS):
    """Whether a header or a line of a log can hold a text."""
    # Most texts are printable, which is faster to tell than by the expression.
    return len(text) <= most and (text.isprintable() or not _UNPRINTABLE.search(text))


def is_name(text):
    """Whether a text can name something in a header: not empty, no blanks around it."""
    return bool(text) and text == text.strip() and is_printable(text, MAX_NAME_CHARS)


def parse(raw, step):
    """Return the `Record` of JSON bytes; raise RecordError if they are malformed."""
    try:
        data = json.loads(raw)
    except (TypeError, ValueError, RecursionError) as exc:
        raise errors.RecordError(f"malformed JSON: {exc}", step=step) from exc
    if raw.count(b"[") + raw.count(b"{") > MAX_DEPTH:
        _check_depth(data, step)
    return Record(data, step)


def _check_depth(data, step):
    level = [data]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, (dict, list))
        ]
        if not level:
            return
    raise errors.RecordError(f"nested in more than {MAX_DEPTH} levels", step=step)
