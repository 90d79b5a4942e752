"""Stand-in for the platform's VM list, which lags behind the actual state."""

import anyio
import attrs

from carobstand.platform import vms
from carobstand.standin import web


@attrs.define(eq=False)
class VmsState:
    """The current VMs by (role, vm), and the history of lists.

    `lag_s` is the age of the list that clients get, in seconds.
    """

    lag_s: float = 0.0
    vms: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)


def site(state=None):
    """Return the VM list as a `web.Site`.

    Besides ``GET /v1/vms`` it accepts ``DELETE`` and ``PUT`` on
    ``/v1/vms/<role>/<vm>``; the body of ``PUT`` is the VM's record as JSON.
    """
    state = state or VmsState()

    async def handle(req):
        return _handle(state, req)

    return web.Site("vms", handle, lambda: {"vms": len(state.vms)})


def put(state, vm):
    """Add or replace a `platform.vms.Vm`."""
    _set_vms(state, {**state.vms, (vm.role, vm.vm): vm})


def remove(state, role, name):
    """Remove a VM if it is listed."""
    remaining = {key: vm for key, vm in state.vms.items() if key != (role, name)}
    _set_vms(state, remaining)


def listed_vms(state, now):
    """Return the VMs that were listed `lag_s` ago."""
    current = ()
    for since, listed in state.history:
        if since + state.lag_s > now:
            break
        current = listed
    return current


def _set_vms(state, changed):
    now = anyio.current_time()
    state.vms = changed
    recent = [item for item in state.history if item[0] + state.lag_s > now]
    outdated = [item for item in state.history if item[0] + state.lag_s <= now]
    state.history = outdated[-1:] + recent + [(now, tuple(changed.values()))]


def _handle(state, req):
    if req.path == "/v1/vms" and req.method == "GET":
        listed = listed_vms(state, anyio.current_time())
        return web.json_response({"vms": [attrs.asdict(vm) for vm in listed]})
    parts = req.path.strip("/").split("/")
    if len(parts) != 4 or parts[:2] != ["v1", "vms"]:
        return web.error_response(404, f"no such path: {req.path}")
    role, name = parts[2:]
    if req.method == "DELETE":
        remove(state, role, name)
    elif req.method == "PUT":
        line = {**req.json(), "role": role, "vm": name}
        line["services"] = tuple(line.get("services", ()))
        put(state, vms.Vm(**line))
    else:
        return web.error_response(405, req.method)
    return web.Response()
