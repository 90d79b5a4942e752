"""Builders of what agents and entries know about weights."""

from carobstand.core import load_schedule, named_versions


def outlook(*named, serving=1, complete=(), missing=None, copy_s=5.2, allowed_s=8.0):
    """Return an `Outlook` on versions named as ``(version, seen_at)``."""
    return load_schedule.Outlook(
        named=[named_versions.SeenVersion(version, at) for version, at in named],
        serving=serving,
        complete=list(complete),
        missing=missing or {},
        copy_s=copy_s,
        allowed_s=allowed_s,
    )
