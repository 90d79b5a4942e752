"""Guards against a timeline that loses, reorders or misattributes events."""

import json
import re

import pytest

from carobstand import errors, settings
from carobstand.cli import timeline


def line(ms, name, process="entry/e1", counter=0, **fields):
    """Return a log line stamped `ms` after the epoch."""
    stamp = (ms << 16) + counter
    known = {"hlc": stamp, "message_type": name, "process": process, "start_id": "s"}
    return json.dumps({**known, "timestamp": 1.0, "task_uuid": "u", **fields})


def write(path, *lines):
    path.write_text("\n".join(lines) + "\n")
    return str(path)


def test_files_are_merged_in_order_of_the_hybrid_clock(tmp_path):
    one = write(tmp_path / "1", line(5, "a.x"), line(9, "a.z", counter=1))
    two = write(tmp_path / "2", line(9, "a.y", "agent/v1"), line(10, "a.w", "agent/v1"))
    events, skipped = timeline.read([one, two])
    assert [event.name for event in events] == ["a.x", "a.y", "a.z", "a.w"]
    assert skipped.count == 0
    text = list(timeline.render_text(events))
    assert text[0].split() == ["00:00:00.005", "entry/e1", "a.x"]


def test_a_truncated_line_is_skipped_and_reported(tmp_path):
    path = write(tmp_path / "log", line(1, "a.x"), line(2, "a.y")[:30], "[1]", "null")
    events, skipped = timeline.read([path])
    assert len(events) == 1
    assert skipped == timeline.Skipped(3, f"{path}:2")


@pytest.mark.parametrize("content", [b"no json\n", b"\xff\xfe\x00", b'{"hlc": true}'])
def test_a_file_that_is_no_log_is_an_error_with_step_and_peer(tmp_path, content):
    path = tmp_path / "log"
    path.write_bytes(content)
    with pytest.raises(errors.TimelineError) as info:
        timeline.read([str(path)])
    assert (info.value.step, info.value.peer) == ("timeline.read", str(path))
    with pytest.raises(errors.TimelineError, match="cannot read"):
        timeline.read([str(tmp_path / "absent")])


def test_filters_select_by_request_vm_and_version(tmp_path):
    path = write(
        tmp_path / "log",
        line(1, "attempt.sent", vm="e1", request="r1", peer="v1", version="a"),
        line(2, "attempt.sent", vm="e1", request="r10", peer="v2", version="b"),
        line(3, "weights.activated", vm="v1", versions=["a", "b"]),
    )
    events, _ = timeline.read([path])

    def stamps(**filters):
        return [event.hlc >> 16 for event in timeline.select(events, **filters)]

    assert stamps(request="r1") == [1]
    assert stamps(vm="v1") == [1, 3]
    assert stamps(version="b") == [2, 3]
    assert stamps(vm="v1", version="b") == [3]


def test_only_a_connection_that_ends_unannounced_is_a_failure(tmp_path):
    path = write(
        tmp_path / "log",
        line(1, "peer.leaving", peer="v1"),
        line(2, "peer.lost", peer="v1"),
        line(3, "peer.connected", peer="v1"),
        line(4, "peer.lost", peer="v1"),
        line(5, "peer.lost", peer="v2"),
    )
    events, _ = timeline.read([path])
    assert timeline.find_failures(events) == [False, False, False, True, True]


def test_the_page_contains_every_event_and_no_value_ends_its_script(tmp_path):
    value = "</script><b>$data ${x}"
    path = write(
        tmp_path / "log",
        line(7, "attempt.refused", "agent/v1", reason=value),
        line(8, "process.started"),
    )
    page = tmp_path / "page.html"
    argv = [path, "--html", str(page)]
    timeline.run(settings.load(settings.TimelineSettings, argv, {}))
    text = page.read_text()
    assert text.count("</script>") == 2
    assert not re.search(r"""(src|href)\s*=\s*["']""", text)
    data = json.loads(re.search(r'application/json">(.*?)</script>', text, re.S)[1])
    assert [lane["process"] for lane in data["lanes"]] == ["entry/e1", "agent/v1"]
    assert [event[:4] for event in data["events"]] == [
        [0, 1, "attempt.refused", 1],
        [1, 0, "process.started", 0],
    ]
    assert data["events"][0][5] == {"reason": value}
