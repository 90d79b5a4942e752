"""Guards against tables that are parsed, checked, merged or encoded wrongly."""

import attrs
import pytest

from carobstand import errors
from carobstand.core import table
from testing import control_builders as build

FULL = (
    build.HEADER
    + f"""service,drafter,,engine,,,,,0.5,bytes,,8,100,,,,
service,registry,,plain,,,,,,,,,,,,POST /orders;PUT /x,
version,v1,drafter,,{build.sha256_hex("v1")},,0.9,all,,,,,,,,,
version,v2,drafter,,{build.sha256_hex("v2")},v1,0.1,3,,,,,,,,,
backend,vm-1,drafter,,,,2,,,,,,,,,,
customer,acme,,,,,1.5,,,,,4,,20,9,,{build.sha256_hex("key")}
link,origin,,,,,,,,,1000000,,,,,,
"""
)


def full_table(revision=1):
    return table.Table(revision, f"c{revision}", table.parse_csv(FULL.encode(), "f"))


def edited(old, key, **changes):
    return table.set_cells(old, key, changes)


V1 = ("version", "v1", "drafter")
V2 = ("version", "v2", "drafter")


def test_rows_survive_csv_and_json():
    parsed = full_table()
    assert set(table.parse_csv(table.to_csv(parsed), "f")) == set(parsed.rows)
    assert table.from_json(table.to_json(parsed)) == parsed
    assert table.customer_by_key(parsed, build.sha256_hex("key")).priority == 9
    assert [row.name for row in table.versions(parsed, "drafter")] == ["v1", "v2"]
    assert table.is_non_idempotent(
        table.service(parsed, "registry"), "POST", "/orders/7"
    )


@pytest.mark.parametrize(
    ("line", "where"),
    [
        ("version,v3,drafter,,zz,,1,all,,,,,,,,,", "column 5 (manifest)"),
        ("version,v1,drafter,,,,1,all,,,,,,,,,", "column 5 (manifest)"),
        ("backend,vm-2,drafter,,,,-1,,,,,,,,,,", "column 7 (weight)"),
        ("backend,vm-2,drafter,,,,nan,,,,,,,,,,", "column 7 (weight)"),
        ("backend,vm-1,drafter,,,,1,,,,,,,,,,", "same row key as line 6"),
        ("backend,vm-2,other,,,,1,,,,,,,,,,", "unknown service 'other'"),
        ("backend,vm-2,drafter,,,,1,,1,,,,,,,,", "column 9 (max_out)"),
        (
            f"version,v3,drafter,,{build.sha256_hex('x')},v9,1,,,,,,,,,,",
            "column 6 (base)",
        ),
        ("service,s,,engine,,,,,0,,,,,,,,", "column 9 (max_out)"),
        (f"customer,b,,,,,1,,,,,,,,,,{build.sha256_hex('key')}", "column 17"),
        ("link,disk,,,,,,,,,1,,,,,,", "column 2 (name)"),
        ("link,vm", "2 cells instead of 17"),
        ('link,"vm', "malformed CSV"),
        ("thing,vm,,,,,,,,,,,,,,,", "column 1 (kind)"),
    ],
)
def test_an_invalid_row_is_refused_with_file_line_and_column(line, where):
    with pytest.raises(errors.TableError) as caught:
        table.parse_csv((FULL + line).encode(), "new.csv")
    assert str(caught.value).startswith("new.csv:9")
    assert where in str(caught.value)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "empty"),
        (b"\xff\xfe", "new.csv:1: not UTF-8"),
        (b"a,b\n", "header"),
        (
            FULL.encode()
            + b"".join(
                b"backend,m-%d,drafter,,,,1,,,,,,,,,,\n" % i for i in range(100_000)
            ),
            "more than 25000 rows",
        ),
    ],
)
def test_a_file_that_is_no_table_is_refused(data, reason):
    with pytest.raises(errors.TableError, match=reason):
        table.parse_csv(data, "new.csv")


def test_weights_that_sum_to_zero_are_refused():
    with pytest.raises(errors.TableError, match="sum to zero"):
        table.check(build.rows(build.version("v1", 0), build.version("v2", 0)))


def test_a_table_of_a_newer_format_or_with_a_wrong_digest_is_refused():
    data = table.to_json(full_table())
    with pytest.raises(errors.TableError, match="format 2"):
        table.from_json(data.replace(b'"format":1', b'"format":2'))
    with pytest.raises(errors.TableError, match="digest"):
        table.from_json(data.replace(b'"vm-1"', b'"vm-2"'))
    with pytest.raises(errors.TableError, match="malformed"):
        table.from_json(data[:-20])


def test_a_delta_gives_the_same_table_and_digest_as_the_complete_table():
    old = full_table()
    rows = [row for row in edited(old, V1, weight="0.5") if row.kind != "link"]
    new = table.next_revision(old, rows, "c2", "op", 1.0, "edit")
    data = table.delta(old, new)
    received = table.apply_delta(old, data, table.digest(new))
    assert received == attrs.evolve(new, history=())
    assert table.digest(received) == table.digest(new) != table.digest(old)
    with pytest.raises(errors.TableError, match="digest"):
        table.apply_delta(old, data, table.digest(old))
    with pytest.raises(errors.TableError, match="base 1"):
        table.apply_delta(received, data, table.digest(new))


def test_reading_a_table_does_not_depend_on_the_held_one():
    old = full_table()
    rows = [row for row in edited(old, V1, weight="0.5") if row.kind != "link"]
    new = table.next_revision(old, rows, "c2", "op", 1.0, "edit")
    read = table.from_json(table.to_json(old))
    by_delta = table.apply_delta(old, table.delta(old, new), table.digest(new))
    for held in (None, table.EMPTY, old, read, by_delta, new):
        decoded = table.from_json(table.to_json(new), "t", held)
        assert decoded == new and table.digest(decoded) == table.digest(new)


def test_only_services_with_changed_rows_are_planned_again():
    old = full_table()
    customer = ("customer", "acme", "")
    for key, cells, expected in (
        (V1, {"weight": "0.5"}, {"drafter"}),
        (("service", "registry", ""), {"max_queue": "5"}, {"registry"}),
        (customer, {"rate_per_s": "21"}, set()),
    ):
        new = table.Table(2, "c2", edited(old, key, **cells))
        assert table.changed_services(old, new) == expected
    assert table.changed_services(old, table.EMPTY) == {"drafter", "registry"}


def test_edits_of_different_cells_merge():
    base = full_table()
    theirs = edited(base, V1, weight="0.5", copies="4")
    mine = edited(base, V1, manifest=build.sha256_hex("other"))
    merged = {row.name: row for row in table.merge(base, theirs, mine)}
    assert (merged["v1"].weight, merged["v1"].copies) == (0.5, 4)
    assert merged["v1"].manifest == build.sha256_hex("other")


def test_edits_of_one_cell_conflict_and_the_error_shows_both():
    base = full_table()
    theirs = edited(base, V1, weight="0.5")
    mine = edited(base, V1, weight="0.7")
    with pytest.raises(errors.ConflictError) as caught:
        table.merge(base, theirs, mine)
    assert "v1 drafter weight: was '0.9', theirs '0.5', mine '0.7'" in str(caught.value)


def test_a_deleted_row_that_the_other_side_edited_is_a_conflict():
    base = full_table()
    mine = [row for row in base.rows if row.name != "v2"]
    with pytest.raises(errors.ConflictError, match="mine \\(absent\\)"):
        table.merge(base, edited(base, V2, weight="0.2"), mine)
    assert len(table.merge(base, base, mine)) == len(base.rows) - 1


def test_a_merge_whose_rows_contradict_each_other_is_refused():
    base = table.Table(
        1, "c", build.rows(build.version("v1"), build.version("v2", weight=0))
    )
    theirs = [row for row in base.rows if row.name != "v2"]
    mine = edited(base, V2, weight="1")
    mine = [attrs.evolve(r, weight=0) if r.name == "v1" else r for r in mine]
    with pytest.raises(errors.ConflictError):
        table.merge(base, theirs, mine)
    mine = (base.rows[0], attrs.evolve(base.rows[1], weight=0), base.rows[2])
    with pytest.raises(errors.TableError, match="sum to zero"):
        table.merge(base, theirs, mine)


def test_history_keeps_the_last_fifty_changes():
    current = table.EMPTY
    for number in range(1, 61):
        current = table.next_revision(
            current, build.rows(), f"c{number}", "op", 1.0, "x"
        )
    assert len(current.history) == table.MAX_HISTORY
    assert current.history[-1].change_id == "c60"
