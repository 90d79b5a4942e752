"""carobstand-timeline: merges the logs of several processes into one timeline."""

import importlib.resources
import json
import os
import string
import sys
import time

import attrs

from carobstand import clock, errors, settings

METADATA_KEYS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "hlc"}
)
"""Keys of a log line that are not event fields."""

PROCESS_KEYS = frozenset({"process", "start_id", "vm", "failure_domain"})
"""Keys of a log line that identify its process."""

FAILURE_MARKERS = (
    "fail",
    "refus",
    "lost",
    "violation",
    "silent",
    "crash",
    "reject",
    "error",
)
"""Substrings of event names that report a failure, refusal or loss."""

MAX_VALUE_CHARS = 200
"""Values are truncated to this length in the text output."""

MAX_STAMP = 1 << 62
"""Lines with this stamp or a larger one are skipped: it exceeds the range of dates."""


@attrs.frozen
class Event:
    """One log line. `fields` holds the values that do not identify the process."""

    hlc: int
    name: str
    process: str
    start_id: str
    vm: str
    failure_domain: str
    fields: dict


@attrs.frozen
class Skipped:
    """Number of skipped lines, and location of the first one as ``path:line``."""

    count: int = 0
    first: str = ""


def read(paths):
    """Read and merge log files.

    Parameters
    ----------
    paths : iterable of str

    Returns
    -------
    events : list of Event
        Ordered by hybrid logical clock.
    skipped : Skipped
        Lines that are not events, such as a line truncated when its process ended.

    Raises
    ------
    TimelineError
        If a file cannot be read, or none of its lines is an event.
    """
    events, skipped = [], Skipped()
    for path in paths:
        found, bad = _read_file(path)
        events.extend(found)
        skipped = Skipped(skipped.count + bad.count, skipped.first or bad.first)
    events.sort(key=lambda event: event.hlc)
    return events, skipped


def _read_file(path):
    try:
        with open(path, "rb") as file:
            lines = file.read().splitlines()
    except OSError as exc:
        raise errors.TimelineError(
            f"cannot read log file: {exc.strerror}", step="timeline.read", peer=path
        ) from exc
    events, bad = [], []
    for number, line in enumerate(lines, 1):
        event = parse(line)
        if event is not None:
            events.append(event)
        elif line.strip():
            bad.append(number)
    if bad and not events:
        raise errors.TimelineError(
            "no line is a JSON object with hlc and message_type",
            step="timeline.read",
            peer=path,
        )
    return events, Skipped(len(bad), f"{path}:{bad[0]}" if bad else "")


def parse(line):
    """Return the `Event` in a log line, or None if it is not an event."""
    try:
        value = json.loads(line)
        hlc, name = value["hlc"], value["message_type"]
    except (KeyError, TypeError, ValueError, RecursionError):
        return None
    if type(hlc) is not int or not 0 <= hlc < MAX_STAMP or not isinstance(name, str):
        return None
    fields = {
        key: val
        for key, val in value.items()
        if key not in METADATA_KEYS and key not in PROCESS_KEYS
    }
    identity = {key: str(value.get(key, "")) for key in PROCESS_KEYS}
    identity["process"] = identity["process"] or identity["vm"] or "unknown"
    return Event(hlc=hlc, name=name, fields=fields, **identity)


def select(events, request="", vm="", version=""):
    """Return the events of a request, VM and version; empty filters match all.

    An event belongs to a VM if the VM logged it or is its peer, and to a request or
    version if a field is that id or contains it in a list.
    """
    return [
        event
        for event in events
        if (not request or _mentions(event, ("request", "requests"), request))
        and (not vm or event.vm == vm or _mentions(event, ("peer", "vm"), vm))
        and (not version or _mentions(event, _VERSION_FIELDS, version))
    ]


_VERSION_FIELDS = ("version", "versions", "serve", "fetch", "serving", "loaded")


def _mentions(event, names, value_sought):
    for name in names:
        value = event.fields.get(name)
        values = value if isinstance(value, list | dict) else [value]
        if any(str(item) == value_sought for item in values if item is not None):
            return True
    return False


def render_text(events):
    """Yield one line per event: time (UTC), process, event name, fields."""
    width = max((len(event.process) for event in events), default=0)
    name_width = max((len(event.name) for event in events), default=0)
    for event in events:
        fields = " ".join(f"{key}={_text(val)}" for key, val in event.fields.items())
        line = f"{_clock_time(event.hlc)}  {event.process:<{width}}"
        yield f"{line}  {event.name:<{name_width}}  {fields}".rstrip()


def _clock_time(hlc):
    seconds = clock.stamp_seconds(hlc)
    whole = time.strftime("%H:%M:%S", time.gmtime(int(seconds)))
    return f"{whole}.{int(seconds * 1000) % 1000:03}"


def _text(value):
    text = value if isinstance(value, str) else json.dumps(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "…"
    if not isinstance(value, str):
        return text
    quoted = not text or not text.isprintable() or any(c in ' "=' for c in text)
    return json.dumps(text, ensure_ascii=False) if quoted else text


def render_html(events, title):
    """Return a self-contained HTML page with one lane per process.

    Parameters
    ----------
    events : list of Event
    title : str

    Returns
    -------
    page : str
    """
    first = min((event.hlc >> clock.COUNTER_BITS for event in events), default=0)
    lanes = _lanes(events)
    index = {lane["process"]: number for number, lane in enumerate(lanes)}
    rows = [
        [
            (event.hlc >> clock.COUNTER_BITS) - first,
            index[event.process],
            event.name,
            int(is_failure),
            event.start_id,
            event.fields,
        ]
        for event, is_failure in zip(events, find_failures(events), strict=True)
    ]
    data = {"title": title, "start_ms": first, "lanes": lanes, "events": rows}
    # "<" is escaped so that no value can end the script element.
    text = json.dumps(data, separators=(",", ":")).replace("<", "\\u003c")
    template = importlib.resources.files("carobstand.cli").joinpath("timeline.html")
    return string.Template(template.read_text("utf-8")).substitute(data=text)


def find_failures(events):
    """Return for each event whether it reports a failure, refusal or loss.

    A connection that ends after its peer announced a planned stop is not a failure.
    """
    leaving, found = set(), []
    for event in events:
        link = (event.process, event.fields.get("peer"))
        last = event.name.rpartition(".")[2]
        is_failure = any(part in last for part in FAILURE_MARKERS)
        if event.name == "peer.leaving":
            leaving.add(link)
        elif event.name == "peer.connected":
            leaving.discard(link)
        elif event.name == "peer.lost":
            is_failure = link not in leaving
        found.append(is_failure)
    return found


def _lanes(events):
    """Return the lanes, sorted by kind of process, failure domain and name."""
    domains = {}
    for event in events:
        domains[event.process] = event.failure_domain or domains.get(event.process, "")

    def order(process):
        kind = process.partition("/")[0]
        rank = {"entry": 0, "agent": 1}.get(kind, 2)
        return (rank, kind, domains[process], process)

    return [
        {"process": process, "domain": domains[process]}
        for process in sorted(domains, key=order)
    ]


def run(cfg):
    """Print the timeline or write the HTML page.

    Parameters
    ----------
    cfg : settings.TimelineSettings

    Raises
    ------
    TimelineError
        If a file cannot be read or written.
    """
    events, skipped = read(cfg.files)
    if skipped.count:
        print(
            f"skipped {skipped.count} lines that are not events, first {skipped.first}",
            file=sys.stderr,
        )
    events = select(events, cfg.request, cfg.vm, cfg.version)
    if not cfg.html:
        for line in render_text(events):
            print(line)
        return
    chosen = [("request", cfg.request), ("VM", cfg.vm), ("version", cfg.version)]
    title = ", ".join(f"{name} {value}" for name, value in chosen if value)
    try:
        with open(cfg.html, "w", encoding="utf-8") as file:
            file.write(render_html(events, title or "all events"))
    except OSError as exc:
        raise errors.TimelineError(
            f"cannot write page: {exc.strerror}", step="timeline.write", peer=cfg.html
        ) from exc


def main():
    """Run the program with the settings of the command line and environment."""
    cfg = settings.load(settings.TimelineSettings, sys.argv[1:], os.environ)
    if not cfg.files:
        settings.exit_with_error(
            errors.SettingsError(
                "<files> is missing: at least one log file is required"
            )
        )
    try:
        run(cfg)
    except errors.TimelineError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(1)
    except BrokenPipeError:
        # The reader of the output has exited. Python would report the error again when
        # it flushes stdout at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


if __name__ == "__main__":
    main()
