"""Builders of what agents and entries know about weights."""

import hashlib

import anyio

from carobstand.agent import view
from carobstand.core import (
    engine_report,
    load_schedule,
    named_versions,
    registry,
    routes,
    weight_copy,
)
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


def configuration():
    """Return a configuration with a service of engines."""
    weights = routes.Weights(models=("m",), layers=4, pieces=8, piece_bytes=64)
    service = platform_builders.service(weights=weights)
    return routes.Configuration(version=1, routes={}, services={"drafter": service})


def fleet():
    """Return the `Fleet` of an entry."""
    dep = platform_builders.deployment_of("entry-1", "10.0.0.1")
    return fleets.Fleet(dep, None, configuration=configuration(), started=0.0)


def agent_view(serving, named):
    """Return the `View` of an agent whose engine serves a version.

    The versions in `named` are named now.
    """
    dep = platform_builders.deployment_of("side-1", "10.0.0.2", service="drafter")
    state = view.View(dep, None, None, configuration=configuration())
    holding = registry.Holding(model="m", version=serving)
    state.report = engine_report.EngineReport(holding=holding)
    now = anyio.current_time()
    state.named["m"] = [named_versions.SeenVersion(version, now) for version in named]
    return state


def add_copy(state, version):
    """Add a complete copy of a version to an agent's `View`; return it."""
    data = b"%d" % version
    digests = (hashlib.sha256(data).digest(),)
    copy = state.copies[version] = weight_copy.WeightCopy("m", version, digests, 1)
    weight_copy.add(copy, 0, data)
    return copy
