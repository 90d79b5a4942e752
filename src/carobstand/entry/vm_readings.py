"""Readings of the VM list, which entries make in turn and share.

The list of 11,000 VMs has about 1.8 MB. If each entry read it each second, the reading
alone would take several hundred times what control may use. Whoever reads it first
after about a second tells the others at once what changed, and a digest of the whole;
they then wait another second.
"""

import hashlib

import anyio

from carobstand import errors, logs
from carobstand.core import membership
from carobstand.entry import control_state
from carobstand.platform import vms as vm_lists
from carobstand.wire.gen import ttypes

INTERVAL_S = 0.8
"""Time after a reading, by any entry, before the next one."""

SPREAD_S = 0.5
"""Largest random addition. A reading reaches the neighbours within milliseconds, so few
entries read at the same time; a leaving VM still gets no new work within 2 s."""

MAX_REPORTS = 200
"""Changed lines told in one message; after more, the others read the whole list."""

WRONG_S = 0.01
"""Spread, per known entry, of readings by entries that could not follow another's."""


async def run(control):
    """Read the VM list when no entry has done so for about a second."""
    tried_at = -INTERVAL_S
    while True:
        known_at = max(tried_at, control.vms_read_at or 0.0)
        wait_s = INTERVAL_S + control.rng.uniform(0, SPREAD_S)
        if control.vms_inconsistent:
            entries = len(control.state.entries) + 1
            wait_s = control.rng.uniform(0, SPREAD_S + WRONG_S * entries)
            known_at = anyio.current_time()
        if control.vms_read_at is None and tried_at < 0:
            wait_s = 0.0
        await anyio.sleep_until(known_at + wait_s)
        if (control.vms_read_at or 0.0) > known_at and not control.vms_inconsistent:
            continue
        tried_at = anyio.current_time()
        try:
            vms = await control.state.vm_list.fetch()
        except errors.CarobstandError as exc:
            logs.event("vms.failed", error=exc.message, step=exc.step, peer=exc.peer)
        else:
            control.vms_inconsistent = False
            _tell(control, apply(control, vms))


def apply(control, vms):
    """Put a VM list in force; return what changed as `VmReport`."""
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


def _line_hash(vm):
    """Return 64 bits of the SHA-256 of a line of the list."""
    services = sorted(vm.services)
    text = "\0".join(
        (vm.role, vm.vm, vm.address, vm.failure_domain, vm.region, *services)
    )
    digest = hashlib.sha256(f"{text}\0{int(vm.leaving)}".encode()).digest()
    return int.from_bytes(digest[:8], "big")


def _digest_after(digest, changes, former):
    """Return the sum modulo 2^64 of the hashes of all lines, after `changes`."""
    total = int(digest or "0", 16)
    for report in changes:
        old = former.get((report.role, report.vm))
        total -= 0 if old is None else _line_hash(old)
        total += 0 if report.gone else _line_hash(report)
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


def _tell(control, changes):
    """Tell all connected entries of a reading made here."""
    control.vms_stamp = logs.STATE.clock.tick()
    message = ttypes.PeerState(
        vms_stamp=control.vms_stamp,
        vms_digest=control.vms_digest,
        vms=changes if 0 < len(changes) <= MAX_REPORTS else None,
    )
    _post_all(control, message, None)


def _post_all(control, message, source):
    for peer in list(control.state.entries.values()):
        if peer.conn is not source:
            control_state.post(peer.conn, message)


def _check(conn, report):
    names = ("vm", "role", "address", "failure_domain", "region")
    if any(getattr(report, name) is None for name in names):
        raise errors.WireError(
            "incomplete line of the VM list", step="vms.take", peer=conn.peer.vm
        )


def take(control, conn, message):
    """Follow a reading of another entry, and pass it on if it is news."""
    if (message.vms_stamp or 0) <= control.vms_stamp:
        return
    control.vms_stamp = message.vms_stamp
    lines = {(vm.role, vm.vm): vm for vm in control.state.vms}
    for report in message.vms or ():
        _check(conn, report)
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
