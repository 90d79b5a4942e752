"""Operators and observers of a soak run: edits, revisions, versions, processes."""

import collections
import json

import anyio
import attrs

from bench import callers
from bench import fleet as fleets
from carobstand import errors
from carobstand.cli import edits
from carobstand.core import table as tables
from carobstand.platform import store

FAULTS = (
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
"""Findings that must be 0."""

LEAVING_S = 2.0
"""Time after which a leaving VM gets no new work."""

VMS_LAG_S = 1.0
"""Age of the stand-in's VM list."""

POISON = "crash this engine"
"""Part of a prompt that crashes an engine."""

SUSPECT = "backend servers failed while they ran this request"
"""Reason of the entry for the end of a request that became a suspect."""

CALM_TRIES = 3
"""Tries of a change without faults; an operator's last edit may conflict with one."""

POISON_FAILURES = 2
"""Failures of backend servers after which a request is refused everywhere."""

IN_FORCE_S = 9.0
"""Longest time until an accepted change is in force everywhere."""


@attrs.define(eq=False)
class Operators:
    """Edits: `accepted` maps change ids to revisions, `refused` holds change ids."""

    rng: object
    accepted: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    number: int = 0


@attrs.define(eq=False)
class Watch:
    """What the status ports showed: highest revision per start id, ready entries.

    `crashes` counts the crashes of engines that the bench caused itself, `poisons` the
    different requests that crash each engine that runs them.
    """

    revisions: dict = attrs.field(factory=dict)
    ready: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    crashes: int = 0
    poisons: int = 0


def disturb(watch, what):
    """Note a fault, for the report."""
    watch.events.append((anyio.current_time(), what))


def ready_entries(soak):
    """Return the entries whose readiness check passed last, as a load balancer."""
    return [
        program
        for program in fleets.of_role(soak.fleet, "entry")
        if soak.watch.ready.get(program.name)
    ]


async def watch_loop(soak):
    """Read the readiness and status of each process again and again."""

    async def one(program):
        while True:
            if program.role == "entry":
                ready = await fleets.is_ready(soak.fleet, program)
                soak.watch.ready[program.name] = ready
            body = await fleets.status(soak.fleet, program)
            if body is not None:
                _note_revision(soak, program, body)
            await anyio.sleep(0.3)

    async with anyio.create_task_group() as tg:
        for program in soak.fleet.programs.values():
            tg.start_soon(one, program)


def _note_revision(soak, program, body):
    key = (program.name, body["start_id"])
    seen = {"table": body["table_revision"], **body["plan_revisions"]}
    former = soak.watch.revisions.setdefault(key, {})
    for name, revision in seen.items():
        if revision < former.get(name, 0):
            callers.find(
                soak.tally,
                "table_reverts",
                f"{program.name}: {name} from {former[name]} to {revision}",
            )
        former[name] = max(revision, former.get(name, 0))


async def work_of(fleet, program):
    """Return the number of calls that reached a backend server."""
    found = await fleets.stats(fleet, program.backend)
    return sum(found.get("requests", found.get("runs")).values())


async def poison_loop(soak):
    """Send a request that crashes engines, several times through all entries."""
    for program in fleets.of_role(soak.fleet, "agent"):
        if program.services == ("salahkar",):
            await fleets.faults(soak.fleet, program.backend, crash_marker=POISON)
    while not soak.stop.is_set():
        await anyio.sleep(soak.operators.rng.uniform(10, 20))
        soak.watch.poisons += 1
        order = {"model": "salahkar", "prompt": f"{POISON} {soak.watch.poisons}"}
        for _ in range(5):
            if soak.stop.is_set() or not ready_entries(soak):
                break
            at = soak.operators.rng.choice(ready_entries(soak))
            await callers.request(
                soak.fleet, at, "customer-4", "POST", "/v1/completions", json=order
            )
            await anyio.sleep(1)


async def planner(fleet):
    """Return the entry that holds the planner lease, or None."""
    client = store.http_store(fleet.direct_store)
    try:
        item = await client.get("lease/planner")
    except errors.StoreError:
        return None
    finally:
        await client.close()
    for program in fleets.of_role(fleet, "entry"):
        body = await fleets.status(fleet, program)
        if item is not None and body and body["start_id"].encode() in item.value:
            return program
    return None


def _edited(operators, current):
    """Return rows with one random edit: the version served, or a limit."""
    rng = operators.rng
    if rng.random() < 0.5:
        versions = [row.name for row in tables.versions(current, "salahkar")]
        chosen = rng.choice(versions)
        # The chosen one comes first: weights must not sum to zero in between.
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
    """Edit the table until the run stops, as a second operator does the same."""
    operators = soak.operators
    client = store.http_store(soak.fleet.urls["store"])
    while not soak.stop.is_set():
        await anyio.sleep(operators.rng.uniform(0.5, 5))
        await _edit(soak, client, name)
    await client.close()


async def _edit(soak, client, name):
    operators = soak.operators
    operators.number += 1
    change_id = f"{name}-{operators.number}"
    try:
        _, base = await edits.read(client)
        rows, summary = _edited(operators, base)
        await anyio.sleep(operators.rng.uniform(0, 0.5))
        author = edits.Author(name, float(operators.number), change_id)
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


async def settle(soak, timeout_s):
    """Wait until requests have ended, then change the table and see it in force."""
    fleet = soak.fleet
    for program in fleet.programs.values():
        if program.process.poll() is None:
            await fleets.until_ready(fleet, program, 60)
    with anyio.move_on_after(timeout_s):
        while soak.tally.open:
            await anyio.sleep(0.1)
    if soak.tally.open:
        callers.find(soak.tally, "stuck_requests", f"{soak.tally.open} open")
    client = store.http_store(fleet.direct_store)
    for _ in range(3):
        await _edit_and_wait(soak, client)
    await client.close()
    await _converge(soak, timeout_s)


async def _edit_and_wait(soak, client):
    revision = None
    for _ in range(CALM_TRIES):
        revision = revision or await _edit(soak, client, "final")
    if revision is None:
        callers.find(soak.tally, "changes_lost", "no change was accepted in calm")
        return

    async def behind():
        found = []
        for program in soak.fleet.programs.values():
            body = await fleets.status(soak.fleet, program)
            if body is None or body["table_revision"] < revision:
                found.append(program.name)
        return found

    with anyio.move_on_after(IN_FORCE_S):
        while await behind():
            await anyio.sleep(0.1)
        return
    late = await behind()
    callers.find(soak.tally, "changes_late", f"revision {revision}: {late}")


async def _converge(soak, timeout_s):
    """Wait until every engine serves exactly the version with weight."""
    client = store.http_store(soak.fleet.direct_store)
    _, current = await edits.read(client)
    await client.close()
    rows = tables.versions(current, "salahkar")
    wanted = [row.name for row in rows if row.weight > 0]
    found = {}

    async def converged():
        nonlocal found
        found = await fleets.serving(soak.fleet)
        return all(wanted[0] in served for served in found.values())

    try:
        await fleets.until(converged, f"engines serve {wanted}", timeout_s)
    except TimeoutError:
        callers.find(soak.tally, "not_converged", f"{wanted}, engines serve {found}")


async def check_backends(soak):
    """Compare orders with what the plain services ran; check engines and exits."""
    runs = collections.Counter()
    crashes = 0
    for program in fleets.of_role(soak.fleet, "agent"):
        found = await fleets.stats(soak.fleet, program.backend)
        if program.services == ("salahkar",):
            crashes += found["crashes"]
            for kind, count in found["violations"].items():
                detail = f"{program.backend}: {count} {kind}"
                callers.find(soak.tally, "weights_violations", detail)
        else:
            runs.update(found["runs"])
    callers.check_orders(soak.tally, runs)
    spread = crashes - soak.watch.crashes
    if spread > POISON_FAILURES * soak.watch.poisons:
        detail = f"{spread} crashes by {soak.watch.poisons} requests"
        callers.find(soak.tally, "poison_spread", detail)


async def check_operators(soak):
    """Check that accepted changes are in the history and refused ones are not."""
    client = store.http_store(soak.fleet.direct_store)
    _, current = await edits.read(client)
    written = {}
    for revision in range(1, current.revision + 1):
        found = await edits.read_revision(client, revision)
        written[found.change_id] = revision
    await client.close()
    for change_id, revision in soak.operators.accepted.items():
        if written.get(change_id) != revision:
            detail = f"{change_id} accepted as {revision}: {written.get(change_id)}"
            callers.find(soak.tally, "changes_lost", detail)
    for change_id in soak.operators.refused & set(written):
        detail = f"{change_id} refused, but is revision {written[change_id]}"
        callers.find(soak.tally, "changes_lost", detail)


def check_processes(soak):
    """Check that no process ended on its own or wrote a traceback."""
    for program in soak.fleet.programs.values():
        status = program.process.poll()
        if program.running and status is not None:
            detail = f"{program.name} exited on its own: {status}"
            callers.find(soak.tally, "bad_exit", detail)
    for name, text in fleets.errors_of(soak.fleet).items():
        callers.find(soak.tally, "bad_exit", f"{name} wrote: {text[-600:]}")


def check_logs(soak):
    """Check that no log holds a customer's key; excuse answers cut as suspects.

    A request that two backend servers ran when they crashed is refused everywhere,
    also when it is not the one that made them crash (section 7 of the design page).
    """
    ended = {}
    for path in sorted(soak.fleet.folder.glob("*.log")):
        text = path.read_text(errors="replace")
        for customer, key in soak.fleet.keys.items():
            if key in text:
                detail = f"{path.name} holds the key of {customer}"
                callers.find(soak.tally, "secrets_logged", detail)
        for line in text.splitlines():
            if '"request.ended"' in line:
                event = json.loads(line)
                ended[event["request"]] = event
    for request_id, detail in soak.tally.cuts:
        event = ended.get(request_id, {})
        if SUSPECT in event.get("error", "") and event.get("attempts", 0) >= 2:
            soak.tally.counts["cut_as_suspect"] += 1
        else:
            callers.find(soak.tally, "cut", f"{detail}: {event.get('error')}")
