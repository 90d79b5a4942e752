"""Builders of what agents and entries know about weights."""

from carobstand.core import load_schedule, named_versions, routes
from carobstand.entry import fleet as fleets
from testing import platform_builders


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


def fleet():
    """Return the `Fleet` of an entry whose configuration has a service of engines."""
    weights = routes.Weights(models=("m",), layers=4, pieces=8, piece_bytes=64)
    service = platform_builders.service(weights=weights)
    config = routes.Configuration(version=1, routes={}, services={"drafter": service})
    dep = platform_builders.deployment_of("entry-1", "10.0.0.1")
    return fleets.Fleet(dep, None, configuration=config, started=0.0)
