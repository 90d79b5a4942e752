"""Reads the VM list and shares its changes between entries.

The list of 11,000 VMs has about 1.8 MB. If each entry read it each second, that alone
would use several hundred times the bandwidth allowed for control. Instead, the first
entry to read the list after about a second sends the changes and a digest of the list
to the others, which then wait for another second.
"""

import hashlib

import anyio

from carobstand import errors, logs
from carobstand.core import membership
from carobstand.entry import control_state
from carobstand.platform import vms as vm_lists
from carobstand.wire.gen import ttypes

INTERVAL_S = 0.8
"""Minimum time from a read by any entry until the next one."""

SPREAD_S = 0.5
"""Maximum random addition to `INTERVAL_S`. Changes reach neighbours within
milliseconds, so few entries read at the same time; a leaving VM still gets no new work
after 2 s."""

MAX_CHANGES = 200
"""Maximum number of changes per message; above it, the others read the list."""

INCONSISTENT_SPREAD_S = 0.01
"""Random delay, per known entry, before a read by an entry whose list differs."""


async def run(control):
    """Read the VM list if no entry has read it for about a second, until cancelled."""
    attempted_at = -INTERVAL_S
    while True:
        known_at = max(attempted_at, control.vms_read_at or 0.0)
        wait_s = INTERVAL_S + control.rng.uniform(0, SPREAD_S)
        if control.vms_inconsistent:
            entries = len(control.state.entries) + 1
            wait_s = control.rng.uniform(0, SPREAD_S + INCONSISTENT_SPREAD_S * entries)
            known_at = anyio.current_time()
        if control.vms_read_at is None and attempted_at < 0:
            wait_s = 0.0
        await anyio.sleep_until(known_at + wait_s)
        if (control.vms_read_at or 0.0) > known_at and not control.vms_inconsistent:
            continue
        attempted_at = anyio.current_time()
        try:
            vms = await control.state.vm_list.fetch()
        except errors.CarobstandError as exc:
            logs.event("vms.failed", error=exc.message, step=exc.step, peer=exc.peer)
        else:
            control.vms_inconsistent = False
            _announce(control, apply(control, vms))


def apply(control, vms):
    """Apply a VM list; return its changes as a list of `VmReport`."""
    state = control.state
    now = anyio.current_time()
    vms = tuple(sorted(vms, key=lambda vm: (vm.role, vm.vm)))
    agents = tuple(vm for vm in vms if vm.role == "agent")
    effects = membership.step(control.members, membership.VmListRead(agents), now)
    control.vms_read_at = now
    if vms == state.vms and not effects:
        return []
    former = {(vm.role, vm.vm): vm for vm in state.vms}
    changes = _changes(former, vms)
    state.vms = vms
    control.vms_digest = _digest_after(control.vms_digest, changes, former)
    for report in changes:
        old = former.get((report.role, report.vm))
        control_state.mark_services(
            control, (*report.services, *(old.services if old else ()))
        )
    if effects:
        control_state.mark_services(control, control.plans)
    state.changed.notify()
    return changes


def _vm_hash(vm):
    """Return the first 64 bits of the SHA-256 of one VM of the list."""
    services = sorted(vm.services)
    text = "\0".join(
        (vm.role, vm.vm, vm.address, vm.failure_domain, vm.region, *services)
    )
    digest = hashlib.sha256(f"{text}\0{int(vm.leaving)}".encode()).digest()
    return int.from_bytes(digest[:8], "big")


def _digest_after(digest, changes, former):
    """Return the sum modulo 2^64 of the hashes of all VMs, after `changes`."""
    total = int(digest or "0", 16)
    for report in changes:
        old = former.get((report.role, report.vm))
        total -= 0 if old is None else _vm_hash(old)
        total += 0 if report.gone else _vm_hash(report)
    return f"{total % 2**64:016x}"


def _changes(before, new):
    after = {(vm.role, vm.vm): vm for vm in new}
    gone = [_report(vm, True) for key, vm in before.items() if key not in after]
    return gone + [
        _report(vm, False) for key, vm in after.items() if before.get(key) != vm
    ]


def _report(vm, gone):
    return ttypes.VmReport(
        vm=vm.vm,
        role=vm.role,
        address=vm.address,
        failure_domain=vm.failure_domain,
        region=vm.region,
        services=list(vm.services),
        leaving=vm.leaving,
        gone=gone,
    )


def _announce(control, changes):
    """Send the changes of a read made here to all connected entries."""
    control.vms_stamp = logs.STATE.clock.tick()
    message = ttypes.PeerState(
        vms_stamp=control.vms_stamp,
        vms_digest=control.vms_digest,
        vms=changes if 0 < len(changes) <= MAX_CHANGES else None,
    )
    _post_all(control, message, None)


def _post_all(control, message, source):
    for peer in list(control.state.entries.values()):
        if peer.conn is not source:
            control_state.post(peer.conn, message)


def _check_complete(conn, report):
    names = ("vm", "role", "address", "failure_domain", "region")
    if any(getattr(report, name) is None for name in names):
        raise errors.WireError(
            "VM report lacks a required field", step="vms.take", peer=conn.peer.vm
        )


def apply_peer_changes(control, conn, message):
    """Apply the changes that another entry read and forward them, unless outdated."""
    if (message.vms_stamp or 0) <= control.vms_stamp:
        return
    control.vms_stamp = message.vms_stamp
    lines = {(vm.role, vm.vm): vm for vm in control.state.vms}
    for report in message.vms or ():
        _check_complete(conn, report)
        key = (report.role, report.vm)
        lines.pop(key, None)
        if not report.gone:
            lines[key] = vm_lists.Vm(
                report.vm,
                report.role,
                report.address,
                report.failure_domain,
                report.region,
                tuple(report.services or ()),
                bool(report.leaving),
            )
    if message.vms or control.vms_digest == message.vms_digest:
        apply(control, lines.values())
    control.vms_inconsistent = control.vms_digest != message.vms_digest
    _post_all(control, message, conn)
