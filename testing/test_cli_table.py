"""Guards against operator commands that lose edits or hide lagging processes."""

import random

import anyio
import attrs
import pytest

from carobstand import errors, settings
from carobstand.cli import edits, fleet, progress, publish
from carobstand.cli import table as cli
from carobstand.core import table
from carobstand.platform import origin as origins
from carobstand.standin import store, vms, web
from testing import control_builders as build
from testing import fake_store, virtual_time

CSV = build.HEADER + (
    "service,drafter,,engine,,,,,,,,,,,,,\n"
    f"version,v1,drafter,,{build.sha256_hex('v1')},,1,all,,,,,,,,,\n"
)


def run_commands(*commands):
    """Run commands against a store stand-in; return the exit statuses."""

    async def body():
        statuses = []
        site = web.bind(store.site())
        async with anyio.create_task_group() as tg:
            await tg.start(web.serve, site)
            for command in commands:
                cfg = settings.TableSettings(arguments=command, store_url=site.url)
                try:
                    statuses.append(await cli.run(cfg))
                except errors.CarobstandError as exc:
                    statuses.append(type(exc))
            tg.cancel_scope.cancel()
        return statuses

    return anyio.run(body)


def test_edit_commands_change_the_table_and_its_history(tmp_path, capsys):
    first, second = tmp_path / "one.csv", tmp_path / "two.csv"
    first.write_text(CSV)
    second.write_text(CSV.replace(",1,all", ",3,all"))
    statuses = run_commands(
        ("accept", str(first), "0"),
        ("set", "version", "v1", "drafter", "copies=2"),
        ("accept", str(second), "1"),
        ("accept", str(first), "0"),
        ("rollback", "1"),
        ("history",),
        ("export",),
        ("diff", str(second)),
    )
    assert statuses == [0, 0, 0, errors.ConflictError, 0, 0, 0, 0]
    out = capsys.readouterr().out
    assert "~ version v1 drafter: copies 'all' -> '2'" in out
    assert "accepted as revision 4" in out
    assert out.count("unknown: ") == 4
    assert out.endswith("~ version v1 drafter: weight '1' -> '3'\n")


@pytest.mark.parametrize(
    "command",
    [("accept", "missing.csv", "0"), ("accept", "x"), ("nonsense",), ("set", "a")],
)
def test_an_invalid_command_is_refused_and_changes_nothing(command):
    refused, exported = run_commands(command, ("export",))
    assert issubclass(refused, errors.CarobstandError)
    assert exported == 0


def test_a_lost_response_and_a_garbage_read_do_not_fail_an_accepted_edit():
    async def body():
        shared = fake_store.SharedState(random.Random(1))
        store, _ = fake_store.client(shared)
        first = await edits.accept(
            store, table.EMPTY, build.rows(), edits.Author("op", 1.0, "a"), "x"
        )
        base = (await edits.read(store))[1]
        injected = iter([None, errors.StoreUnavailableError("lost"), b"garbage"])

        async def put(key, value, **options):
            item = await store.put(key, value, **options)
            if key == edits.TABLE_KEY and next(injected, None) is None:
                raise next(injected)
            return item

        async def get(key):
            item = await store.get(key)
            garbage = item.revision > 1 and next(injected, None)
            return attrs.evolve(item, value=garbage) if garbage else item

        faulty = attrs.evolve(store, put=put, get=get)
        rows = build.rows(build.version("v1"))
        author = edits.Author("op", 1.0, "b")
        return first, await edits.accept(faulty, base, rows, author, "x")

    assert virtual_time.run(body) == (1, 2)


def test_lags_report_applied_and_current_revisions_and_since_when():
    current = table.EMPTY
    for number in range(1, 5):
        rows = build.rows(build.version("v1", weight=number))
        when = 100.0 + number
        current = table.next_revision(current, rows, f"c{number}", "op", when, "x")
    processes = [
        fleet.Process("vm-1", "agent", 2, {"drafter": 6}),
        fleet.Process("vm-2", "agent", 4, {"drafter": 7}),
        fleet.Process("e-1", "entry", error="no status"),
    ]
    found = fleet.lags(processes, current, {"drafter": 7}, {"drafter": 50.0})
    assert found == [
        fleet.Lag("vm-1", "agent", "table", 2, 4, 103.0),
        fleet.Lag("vm-1", "agent", "plan drafter", 6, 7, 50.0),
    ]


def test_an_agent_that_is_silent_to_all_entries_is_reported():
    bodies = [
        {"vm": "e-1", "agents": {"vm-1": {}}, "control": {"silent": {"vm-2": 5.0}}},
        {"vm": "e-2", "control": {"silent": {"vm-1": 1.0, "vm-2": 7.0}}},
    ]
    silent = [p for p in fleet.merge(bodies) if p.error]
    assert [(p.vm, p.last_seen_at) for p in silent] == [("vm-2", 7.0)]


def test_progress_shows_versions_per_failure_domain_with_rate_and_origin_copies():
    def body(verified):
        replica = {
            "service": "drafter",
            "version": "v2",
            "phase": "fetching",
            "bytes_verified": verified,
            "bytes_total": 100 * progress.MB,
            "origin_bytes": 50 * progress.MB,
        }
        agent = {"failure_domain": "fd-0", "replicas": [replica]}
        done = {**replica, "phase": "serving", "bytes_verified": 100 * progress.MB}
        other = {"failure_domain": "fd-1", "replicas": [done]}
        return {"agents": {"vm-1": agent, "vm-2": other}}

    old = progress.collect([body(20 * progress.MB)])
    new = progress.collect([body(40 * progress.MB), body(30 * progress.MB)])
    lines = progress.lines(new, old, 2.0)
    assert lines[0].startswith("drafter v2: 1 of 2 replicas serve; 1 fetching; 70%")
    assert "40% verified; 10.0 MB/s; done in 6 s; origin 50.0 MB (0.50" in lines[1]
    assert lines[2].startswith("  fd-1: 1 of 1 replicas serve")


def test_status_reports_silent_entries_and_exits_with_an_error(capsys):
    async def body():
        site = web.bind(vms.site())
        site.listener.close()
        cfg = settings.TableSettings(arguments=("status",), entries=(site.address,))
        return await cli.run(cfg)

    assert anyio.run(body) == cli.EXIT_REFUSED
    assert "no status" in capsys.readouterr().out


def fake_origin(stored, on_chunk=lambda: None):
    async def chunk(digest, data):
        stored[digest] = data
        on_chunk()

    async def manifest(digest, data):
        stored["manifest"] = digest

    return origins.Origin(None, None, chunk, manifest, None)


def test_publish_uploads_every_chunk_before_the_manifest(tmp_path):
    (tmp_path / "a").write_bytes(b"x" * 3_000_000)
    (tmp_path / "b").write_bytes(b"y")
    stored = {}
    digest = anyio.run(publish.publish, fake_origin(stored), tmp_path)
    assert list(stored)[-1] == "manifest" and stored["manifest"] == digest
    assert sum(map(len, list(stored.values())[:-1])) < 3_000_000


def test_publish_refuses_an_empty_directory_and_one_that_changes(tmp_path):
    with pytest.raises(errors.WeightsError, match="empty"):
        anyio.run(publish.publish, fake_origin({}), tmp_path)
    path = tmp_path / "a"
    path.write_bytes(b"x" * 10)
    stored = {}
    grow = fake_origin(stored, lambda: path.write_bytes(b"z" * 11))
    with pytest.raises(errors.WeightsError, match="changed"):
        anyio.run(publish.publish, grow, tmp_path)
    assert "manifest" not in stored
