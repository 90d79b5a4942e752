"""Guards against logging that stops a process or loses fields of an event."""

import io
import json

import pytest

from carobstand import logs


@pytest.fixture
def stream(monkeypatch):
    added = []
    monkeypatch.setattr(logs.STATE, "configured", False)
    monkeypatch.setattr(logs.eliot, "to_file", lambda file: _add(file, added))
    opened = io.StringIO()
    logs.configure(opened)
    yield opened
    logs.eliot.remove_destination(added[0])


def _add(file, added):
    added.append(logs.eliot.FileDestination(file=file))
    logs.eliot.add_destinations(added[0])


def test_a_log_file_that_cannot_be_opened_prints_one_line(tmp_path, capsys):
    with pytest.raises(SystemExit) as exc:
        logs.open_log(str(tmp_path))
    assert exc.value.code == 2
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert "--log-file" in line and str(tmp_path) in line


def test_fields_of_an_event_override_bound_fields(stream):
    logs.bind(vm="a1", process="agent/a1")
    logs.event("peer.lost", vm="a2", data=b"\xff")
    line = json.loads(stream.getvalue().splitlines()[0])
    assert (line["message_type"], line["vm"]) == ("peer.lost", "a2")
    assert line["process"] == "agent/a1"
    assert line["hlc"] > 0


def test_a_stream_that_cannot_be_written_does_not_stop_the_process(stream):
    stream.close()
    logs.event("peer.lost", vm="a2")
