"""Guards against a demonstration that reports success despite a defect."""

import io

import attrs
import pytest
import rich.console

from carobstand import local, local_traffic, settings
from carobstand.entry import planning
from carobstand.standin import generation

SUCCESSFUL_REPORT = local.Report(
    intact={"vm-1": True},
    counters=local_traffic.RequestCounters(sent=2, complete=2, orders=1),
)


@pytest.mark.parametrize(
    "change",
    [
        {"intact": {}},
        {"intact": {"vm-1": True, "vm-2": False}},
        {"problems": ["vm-1 did not stop in time"]},
        {"counters": local_traffic.RequestCounters()},
        {"counters": local_traffic.RequestCounters(sent=2, complete=1, not_run=1)},
        {"counters": local_traffic.RequestCounters(sent=2, complete=1, unknown=1)},
        {"counters": local_traffic.RequestCounters(sent=2, complete=1, wrong=1)},
        {"counters": local_traffic.RequestCounters(sent=2, complete=1, cut=1)},
    ],
)
def test_each_defect_makes_the_result_a_failure(change):
    assert local.is_success(SUCCESSFUL_REPORT)
    repeated = attrs.evolve(SUCCESSFUL_REPORT.counters, refused=3)
    assert local.is_success(attrs.evolve(SUCCESSFUL_REPORT, counters=repeated))
    assert not local.is_success(attrs.evolve(SUCCESSFUL_REPORT, **change))


def test_a_truncated_response_or_one_of_two_versions_is_wrong():
    payload = {"prompt": "hello", "max_tokens": 4, "stream": True}
    first = generation.expected_body("v1", "m1", "hello", 4, True)
    second = generation.expected_body("v2", "m2", "hello", 4, True)
    counters = local_traffic.RequestCounters()
    for content in (first, first[:200] + second[200:], first[:-1]):
        resp = type("Response", (), {"content": content})
        local_traffic._verify(counters, resp, payload, {"v1": "m1", "v2": "m2"})
    assert (counters.complete, counters.wrong) == (1, 2)


def run_demonstration(*argv):
    """Run the demonstration; return its exit status and its output."""
    cfg = settings.load(settings.LocalSettings, list(argv), {})
    output = io.StringIO()
    status = local.run(cfg, rich.console.Console(file=output, width=200))
    return status, output.getvalue()


def test_an_empty_or_missing_directory_is_an_error_with_step_and_peer(tmp_path):
    for path, reason in ((tmp_path, "empty"), (tmp_path / "absent", "no such file")):
        status, output = run_demonstration("--weights", str(path))
        assert (status, "FAILED" in output) == (1, True)
        assert reason in output and f"[step=publish peer={path}]" in output


def test_weights_that_do_not_fit_into_memory_are_refused_at_once(tmp_path, capsys):
    with (tmp_path / "model.bin").open("wb") as file:
        file.truncate(20 << 30)
    assert run_demonstration("--weights", str(tmp_path))[0] == 2
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert "--weights" in line and "expected 1 to" in line


def test_a_rollout_under_traffic_loses_and_duplicates_no_request(tmp_path, monkeypatch):
    monkeypatch.setattr(local, "FIRST_BYTES", 300_000)
    monkeypatch.setattr(local, "WARM_UP_S", 0.2)
    monkeypatch.setattr(planning, "SETTLE_S", 0.3)
    monkeypatch.setattr(local, "MIN_WINDOW_S", 0.5)
    (tmp_path / "sub").mkdir()
    (tmp_path / "model.bin").write_bytes(bytes(range(256)) * 8192)
    (tmp_path / "sub" / "empty.json").write_bytes(b"")
    status, output = run_demonstration("--weights", str(tmp_path), "--agents", "3")
    assert status == 0, output
    assert "result: ok" in output and "by v1" in output and "by v2" in output
