"""Revisions of all processes of the fleet, from the status ports of the entries."""

import anyio
import attrs
import httpx

from carobstand.platform import http

TIMEOUT_S = 3.0


@attrs.frozen
class Process:
    """One process and its current revisions.

    Attributes
    ----------
    vm, role : str
    table_revision : int
    plan_revisions : dict of str to int
    error : str
        Why the state is unknown, empty otherwise.
    last_seen_at : float or None
        When an unreachable process was last seen, seconds since the epoch.
    """

    vm: str
    role: str
    table_revision: int = 0
    plan_revisions: dict = attrs.field(factory=dict)
    error: str = ""
    last_seen_at: float | None = None


@attrs.frozen
class Lag:
    """Outdated revision of a process.

    `subject` is ``"table"`` or ``"plan <service>"``; `since` is seconds since the epoch
    or None.
    """

    vm: str
    role: str
    subject: str
    held: int
    current: int
    since: float | None


async def fetch_statuses(entries):
    """Return the processes reported by the entries at these status addresses.

    For an agent reported by several entries, the highest revisions are used, as the
    last heartbeat to some entries may be old.

    Parameters
    ----------
    entries : iterable of str
        ``host:port`` of status ports.

    Returns
    -------
    processes : list of Process
        Sorted by role and VM.
    bodies : list of dict
        The responses of ``/status``.
    """
    bodies = []
    failed = []

    async def fetch(address):
        try:
            async with http.client(f"http://{address}", TIMEOUT_S) as client:
                resp = await client.get("/status")
                bodies.append(resp.json())
        except (httpx.HTTPError, ValueError, OSError) as exc:
            reason = str(exc) or type(exc).__name__
            failed.append(Process(address, "entry", error=f"no status: {reason}"))

    async with anyio.create_task_group() as tg:
        for address in entries:
            tg.start_soon(fetch, address)
    return sorted([*merge(bodies), *failed], key=lambda p: (p.role, p.vm)), bodies


def merge(bodies):
    """Return the processes in the statuses of several entries, without duplicates."""
    found = {}
    for body in bodies:
        _add(found, body["vm"], "entry", body)
        for vm, agent in body.get("agents", {}).items():
            _add(found, vm, "agent", agent)
        for vm, peer in body.get("control", {}).get("peers", {}).items():
            _add(found, vm, "entry", peer)
    return [*found.values(), *_unreported_agents(bodies, found)]


def _unreported_agents(bodies, found):
    """Return the agents in the VM list from which no entry receives heartbeats."""
    since = {}
    for body in bodies:
        for vm, at in body.get("control", {}).get("silent", {}).items():
            if ("agent", vm) not in found:
                since[vm] = max(at, since.get(vm, at))
    return [
        Process(vm, "agent", error="no entry receives its heartbeats", last_seen_at=at)
        for vm, at in since.items()
    ]


def _add(found, vm, role, body):
    plans = dict(body.get("plan_revisions") or {})
    known = found.get((role, vm))
    revision = body.get("table_revision") or 0
    if known is not None:
        revision = max(revision, known.table_revision)
        for service, plan_revision in known.plan_revisions.items():
            plans[service] = max(plans.get(service, 0), plan_revision)
    found[role, vm] = Process(vm, role, revision, plans)


def lags(processes, current, plans, plans_at):
    """Return the outdated revisions of processes.

    Parameters
    ----------
    processes : iterable of Process
    current : table.Table
        Its change records hold the time at which each revision was accepted.
    plans : dict of str to int
        Newest plan revision per service.
    plans_at : dict of str to float
        When an entry first had that plan, seconds since the epoch.

    Returns
    -------
    found : list of Lag
    """
    found = []
    for process in processes:
        if process.error:
            continue
        held = process.table_revision
        if held < current.revision:
            since = _outdated_since(current, held)
            found.append(
                Lag(process.vm, process.role, "table", held, current.revision, since)
            )
        for service, newest in plans.items():
            if process.role == "agent" and service not in process.plan_revisions:
                continue
            held = process.plan_revisions.get(service, 0)
            if held < newest:
                since = plans_at.get(service)
                subject = f"plan {service}"
                found.append(
                    Lag(process.vm, process.role, subject, held, newest, since)
                )
    return found


def _outdated_since(current, held):
    """Return when the revision after `held` was accepted, None if too old."""
    for record in current.history:
        if record.revision == held + 1:
            return record.when
    return None
