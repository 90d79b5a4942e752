"""Entries as processes of their own, which signals can stop and resume."""

import contextlib
import functools
import json
import os
import resource
import subprocess
import sys

import anyio
import attrs

from carobstand import signals
from carobstand.platform import settings_file
from testing import platform_builders as build
from testing import platform_fleet

MAX_ADDRESS_BYTES = 3 << 30


@attrs.frozen
class VmLimits:
    """Limits of a VM as the settings file has them."""

    memory_mb: int
    file_descriptors: int
    link_mbps: float = 1000.0


@contextlib.asynccontextmanager
async def started(fleet, vms, directory, limits=None):
    """Run an entry process for each of `vms`; yield them as `subprocess.Popen`, by VM.

    Parameters
    ----------
    fleet : testing.platform_fleet.Fleet
        Its store and servers are used; the entries are added to it.
    vms : list of str
    directory : pathlib.Path
        Where the settings and logs are written.
    limits : VmLimits or None
    """
    processes = {}
    try:
        for vm in vms:
            processes[vm] = _start(fleet, vm, directory, limits)
        for vm in vms:
            entry = fleet.entries[vm]
            await platform_fleet.wait_bound(entry.deployment.ingress_address)
            await platform_fleet.until_ready(entry)
        yield processes
    finally:
        for process in processes.values():
            process.kill()
        for process in processes.values():
            await anyio.to_thread.run_sync(process.wait)


def _start(fleet, vm, directory, limits):
    dep = platform_fleet.build_deployment(fleet, vm)
    dep = attrs.evolve(
        dep,
        ingress_address=f"{dep.ip}:{fleet.port + 16}",
        readiness_address=f"{dep.ip}:{fleet.port + 17}",
    )
    fleet.entries[vm] = platform_fleet.Entry(dep, anyio.Event(), signals.Signal())
    record = build.settings_record(
        node_name=vm,
        ip_address=dep.ip,
        listen_addresses={
            "frontend": dep.ingress_address,
            "readiness": dep.readiness_address,
        },
        internal_port_range=list(dep.internal_ports),
        platform={"address": dep.store_address, "min_ttl_ms": 1000},
    )
    if limits is not None:
        record["limits"] = attrs.asdict(limits)
    path = directory / f"{vm}.json"
    path.write_text(json.dumps(record))
    with open(directory / f"{vm}.log", "wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "carobstand.entry.platform_main"],
            env={**os.environ, settings_file.PATH_VARIABLE: str(path)},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            preexec_fn=limits and functools.partial(_limit_resources, limits),
        )


def _limit_resources(limits):
    """Limit the descriptors, and the memory so that a fault cannot fill the machine."""
    descriptors = (limits.file_descriptors, limits.file_descriptors)
    resource.setrlimit(resource.RLIMIT_NOFILE, descriptors)
    resource.setrlimit(resource.RLIMIT_AS, (MAX_ADDRESS_BYTES, MAX_ADDRESS_BYTES))
