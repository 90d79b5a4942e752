"""Operators and checks of a soak test: edits, revisions, versions and processes."""

import collections
import json

import anyio
import attrs

from bench import fleet as fleets
from bench import soak_clients
from carobstand import errors
from carobstand.cli import edits
from carobstand.core import table as tables
from carobstand.platform import store

FINDING_KINDS = (
    "table_reverts",
    "changes_lost",
    "changes_late",
    "weights_violations",
    "not_converged",
    "work_after_leaving",
    "poison_spread",
    "secrets_logged",
    "bad_exit",
    "stuck_requests",
)
"""Kinds of findings; each count must be 0."""

LEAVING_GRACE_S = 2.0
"""Time after which a VM that is listed as leaving gets no new work."""

VM_LIST_LAG_S = 1.0
"""Age of the VM list that the stand-in serves."""

POISON_MARKER = "crash this engine"
"""Text in a prompt that crashes an engine."""

SUSPECT_REASON = "backend servers failed while they ran this request"
"""Error of an entry when it ends a request as a suspect."""

MAX_EDIT_ATTEMPTS = 3
"""Attempts of an edit without faults; an operator's last edit may conflict with one."""

MAX_CRASHES_PER_POISON = 2
"""Failures of backend servers after which a request is rejected by all entries."""

MAX_PROPAGATION_S = 9.0
"""Maximum time until an accepted change is applied by all processes."""


@attrs.define(eq=False)
class Operators:
    """Edits of the table by operators.

    `accepted` maps change ids to revisions, `refused` holds the change ids of edits
    that were rejected.
    """

    rng: object
    accepted: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    edit_count: int = 0


@attrs.define(eq=False)
class Observations:
    """State read from the status ports, and faults that were injected.

    `revisions` holds the highest table and plan revisions by program name and start id,
    `ready` the result of each entry's last readiness check. `events` holds the time and
    a description of each fault. `crashes` counts the engine crashes that the soak test
    caused directly, `poison_requests` the distinct requests that crash each engine that
    runs them.
    """

    revisions: dict = attrs.field(factory=dict)
    ready: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    crashes: int = 0
    poison_requests: int = 0


def record_fault(observed, fault):
    """Record the time and a description of a fault."""
    observed.events.append((anyio.current_time(), fault))


def ready_entries(soak):
    """Return the entries whose last readiness check passed, as a load balancer does."""
    return [
        program
        for program in fleets.programs_with_role(soak.fleet, "entry")
        if soak.observed.ready.get(program.name)
    ]


async def poll_loop(soak):
    """Poll the readiness of each entry and the status of each process."""

    async def poll(program):
        while True:
            if program.role == "entry":
                ready = await fleets.is_ready(soak.fleet, program)
                soak.observed.ready[program.name] = ready
            body = await fleets.status(soak.fleet, program)
            if body is not None:
                _record_revisions(soak, program, body)
            await anyio.sleep(0.3)

    async with anyio.create_task_group() as tg:
        for program in soak.fleet.programs.values():
            tg.start_soon(poll, program)


def _record_revisions(soak, program, body):
    key = (program.name, body["start_id"])
    reported = {"table": body["table_revision"], **body["plan_revisions"]}
    highest = soak.observed.revisions.setdefault(key, {})
    for name, revision in reported.items():
        if revision < highest.get(name, 0):
            soak_clients.record_finding(
                soak.results,
                "table_reverts",
                f"{program.name}: {name} from {highest[name]} to {revision}",
            )
        highest[name] = max(revision, highest.get(name, 0))


async def backend_call_count(fleet, program):
    """Return the number of calls that the backend server of an agent has received."""
    stats = await fleets.stats(fleet, program.backend)
    return sum(stats.get("requests", stats.get("runs")).values())


async def poison_loop(soak):
    """Send poison requests, each several times through random entries."""
    for program in fleets.programs_with_role(soak.fleet, "agent"):
        if program.services == ("salahkar",):
            await fleets.set_faults(
                soak.fleet, program.backend, crash_marker=POISON_MARKER
            )
    while not soak.stop.is_set():
        await anyio.sleep(soak.operators.rng.uniform(10, 20))
        soak.observed.poison_requests += 1
        payload = {
            "model": "salahkar",
            "prompt": f"{POISON_MARKER} {soak.observed.poison_requests}",
        }
        for _ in range(5):
            if soak.stop.is_set() or not ready_entries(soak):
                break
            entry = soak.operators.rng.choice(ready_entries(soak))
            await soak_clients.request(
                soak.fleet, entry, "customer-4", "POST", "/v1/completions", json=payload
            )
            await anyio.sleep(1)


async def find_planner(fleet):
    """Return the entry that holds the planner lease, or None."""
    client = store.http_store(fleet.store_direct_url)
    try:
        item = await client.get("lease/planner")
    except errors.StoreError:
        return None
    finally:
        await client.close()
    for program in fleets.programs_with_role(fleet, "entry"):
        body = await fleets.status(fleet, program)
        if item is not None and body and body["start_id"].encode() in item.value:
            return program
    return None


def _random_edit(operators, current):
    """Return rows and summary of a random edit: the served version, or a rate limit."""
    rng = operators.rng
    if rng.random() < 0.5:
        versions = [row.name for row in tables.versions(current, "salahkar")]
        chosen = rng.choice(versions)
        # The chosen version comes first, so that the weights never sum to zero.
        for name in sorted(versions, key=lambda name: name != chosen):
            key = ("version", name, "salahkar")
            weight = "1" if name == chosen else "0"
            rows = tables.set_cells(current, key, {"weight": weight})
            current = attrs.evolve(current, rows=rows, digest_sum=0)
        return current.rows, f"serve {chosen}"
    name = rng.choice([row.name for row in current.rows if row.kind == "customer"])
    rate = str(rng.randrange(500, 2000))
    key = ("customer", name, "")
    return tables.set_cells(current, key, {"rate_per_s": rate}), f"{name} {rate}/s"


async def operator_loop(soak, name):
    """Edit the table until the run stops; several operators do so at the same time."""
    operators = soak.operators
    client = store.http_store(soak.fleet.urls["store"])
    while not soak.stop.is_set():
        await anyio.sleep(operators.rng.uniform(0.5, 5))
        await _make_edit(soak, client, name)
    await client.close()


async def _make_edit(soak, client, name):
    operators = soak.operators
    operators.edit_count += 1
    change_id = f"{name}-{operators.edit_count}"
    try:
        _, base = await edits.read(client)
        rows, summary = _random_edit(operators, base)
        await anyio.sleep(operators.rng.uniform(0, 0.5))
        author = edits.Author(name, float(operators.edit_count), change_id)
        revision = await edits.accept(client, base, rows, author, summary)
    except errors.ConflictError:
        operators.counts["conflict"] += 1
        operators.refused.add(change_id)
    except errors.StoreUnavailableError as exc:
        operators.counts["store unavailable"] += 1
        if "was not accepted" in exc.message:
            operators.refused.add(change_id)
    except errors.TableError as exc:
        operators.counts[f"table error: {exc.message[:60]}"] += 1
    else:
        operators.counts["accepted"] += 1
        operators.accepted[change_id] = revision
        return revision
    return None


async def wait_until_settled(soak, timeout_s):
    """Wait until requests have ended, then check that table changes are applied."""
    fleet = soak.fleet
    for program in fleet.programs.values():
        if program.process.poll() is None:
            await fleets.wait_until_ready(fleet, program, 60)
    with anyio.move_on_after(timeout_s):
        while soak.results.open_requests:
            await anyio.sleep(0.1)
    if soak.results.open_requests:
        soak_clients.record_finding(
            soak.results, "stuck_requests", f"{soak.results.open_requests} open"
        )
    client = store.http_store(fleet.store_direct_url)
    for _ in range(3):
        await _edit_and_wait_until_applied(soak, client)
    await client.close()
    await _wait_until_converged(soak, timeout_s)


async def _edit_and_wait_until_applied(soak, client):
    revision = None
    for _ in range(MAX_EDIT_ATTEMPTS):
        revision = revision or await _make_edit(soak, client, "final")
    if revision is None:
        soak_clients.record_finding(
            soak.results, "changes_lost", "no edit was accepted by the settled fleet"
        )
        return

    async def outdated():
        found = []
        for program in soak.fleet.programs.values():
            body = await fleets.status(soak.fleet, program)
            if body is None or body["table_revision"] < revision:
                found.append(program.name)
        return found

    with anyio.move_on_after(MAX_PROPAGATION_S):
        while await outdated():
            await anyio.sleep(0.1)
        return
    still_outdated = await outdated()
    soak_clients.record_finding(
        soak.results, "changes_late", f"revision {revision}: {still_outdated}"
    )


async def _wait_until_converged(soak, timeout_s):
    """Wait until every engine serves the version that has weight."""
    client = store.http_store(soak.fleet.store_direct_url)
    _, current = await edits.read(client)
    await client.close()
    rows = tables.versions(current, "salahkar")
    weighted_versions = [row.name for row in rows if row.weight > 0]
    found = {}

    async def converged():
        nonlocal found
        found = await fleets.served_versions(soak.fleet)
        return all(weighted_versions[0] in served for served in found.values())

    try:
        await fleets.wait_until(
            converged, f"engines serve {weighted_versions}", timeout_s
        )
    except TimeoutError:
        soak_clients.record_finding(
            soak.results, "not_converged", f"{weighted_versions}, engines serve {found}"
        )


async def check_backends(soak):
    """Compare orders with the runs at backend servers; check violations and crashes."""
    runs = collections.Counter()
    crashes = 0
    for program in fleets.programs_with_role(soak.fleet, "agent"):
        stats = await fleets.stats(soak.fleet, program.backend)
        if program.services == ("salahkar",):
            crashes += stats["crashes"]
            for kind, count in stats["violations"].items():
                detail = f"{program.backend}: {count} {kind}"
                soak_clients.record_finding(soak.results, "weights_violations", detail)
        else:
            runs.update(stats["runs"])
    soak_clients.check_orders(soak.results, runs)
    poison_crashes = crashes - soak.observed.crashes
    if poison_crashes > MAX_CRASHES_PER_POISON * soak.observed.poison_requests:
        detail = f"{poison_crashes} crashes by {soak.observed.poison_requests} requests"
        soak_clients.record_finding(soak.results, "poison_spread", detail)


async def check_operators(soak):
    """Check that accepted changes are in the history and rejected ones are not."""
    client = store.http_store(soak.fleet.store_direct_url)
    _, current = await edits.read(client)
    stored_revisions = {}
    for revision in range(1, current.revision + 1):
        stored = await edits.read_revision(client, revision)
        stored_revisions[stored.change_id] = revision
    await client.close()
    for change_id, revision in soak.operators.accepted.items():
        if stored_revisions.get(change_id) != revision:
            detail = (
                f"{change_id} accepted as {revision}: {stored_revisions.get(change_id)}"
            )
            soak_clients.record_finding(soak.results, "changes_lost", detail)
    for change_id in soak.operators.refused & set(stored_revisions):
        detail = f"{change_id} refused, but is revision {stored_revisions[change_id]}"
        soak_clients.record_finding(soak.results, "changes_lost", detail)


def check_processes(soak):
    """Check that no process exited on its own or wrote to standard error."""
    for program in soak.fleet.programs.values():
        status = program.process.poll()
        if program.running and status is not None:
            detail = f"{program.name} exited on its own: {status}"
            soak_clients.record_finding(soak.results, "bad_exit", detail)
    for name, text in fleets.stderr_by_program(soak.fleet).items():
        soak_clients.record_finding(
            soak.results, "bad_exit", f"{name} wrote: {text[-600:]}"
        )


def check_logs(soak):
    """Check that no log holds a customer's key; classify responses that ended early.

    A request that was running on two backend servers when they crashed is rejected by
    all entries, even if it did not cause the crashes (section 7 of docs/design.md). Its
    response may end early; any other such response is a finding.
    """
    ended = {}
    for path in sorted(soak.fleet.folder.glob("*.log")):
        text = path.read_text(errors="replace")
        for customer, key in soak.fleet.keys.items():
            if key in text:
                detail = f"{path.name} holds the key of {customer}"
                soak_clients.record_finding(soak.results, "secrets_logged", detail)
        for line in text.splitlines():
            if '"request.ended"' in line:
                event = json.loads(line)
                ended[event["request"]] = event
    for request_id, detail in soak.results.cuts:
        event = ended.get(request_id, {})
        if SUSPECT_REASON in event.get("error", "") and event.get("attempts", 0) >= 2:
            soak.results.counts["cut_as_suspect"] += 1
        else:
            soak_clients.record_finding(
                soak.results, "cut", f"{detail}: {event.get('error')}"
            )
