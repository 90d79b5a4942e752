"""Typed access to the fields of the platform's JSON records."""

import json

from carobstand import errors


class Record:
    """One JSON object whose fields are read with their types checked.

    Parameters
    ----------
    data : dict
    step : str
        Name of what is decoded, for errors.

    Raises
    ------
    RecordError
        By each method, if the field is missing and has no default, or has another
        type. The message names the field.
    """

    def __init__(self, data, step):
        if not isinstance(data, dict):
            raise errors.RecordError("not a JSON object", step=step)
        self.data = data
        self.step = step

    def _get(self, name, kinds, allowed, default):
        value = self.data.get(name)
        if value is None:
            if default is _REQUIRED:
                raise errors.RecordError(f"{name} is missing", step=self.step)
            return default
        if not isinstance(value, kinds) or (
            isinstance(value, bool) and bool not in kinds
        ):
            message = f"{name}: {value!r:.80} is not {allowed}"
            raise errors.RecordError(message, step=self.step)
        return value

    def text(self, name, default=None):
        """Return a string; `default` None means that the field is required."""
        default = _REQUIRED if default is None else default
        return self._get(name, (str,), "a string", default)

    def number(self, name, default=None):
        """Return an int or float; `default` None means that the field is required."""
        default = _REQUIRED if default is None else default
        return self._get(name, (int, float), "a number", default)

    def seconds(self, name, default_ms=None):
        """Return a field in milliseconds, converted to seconds."""
        return self.number(name, default_ms) / 1000

    def integer(self, name, default=None):
        """Return an int; `default` None means that the field is required."""
        default = _REQUIRED if default is None else default
        return self._get(name, (int,), "an integer", default)

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


def parse(raw, step):
    """Return the `Record` of JSON bytes; raise RecordError if they are malformed."""
    try:
        return Record(json.loads(raw), step)
    except (ValueError, RecursionError) as exc:
        raise errors.RecordError(f"malformed JSON: {exc}", step=step) from exc
