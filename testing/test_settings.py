"""Guards against programs that start with unknown, invalid or missing settings."""

import pytest

from carobstand import errors, settings

ENTRY = {
    "CAROBSTAND_VM": "e1",
    "CAROBSTAND_FAILURE_DOMAIN": "kutch-bhuj",
    "CAROBSTAND_REGION": "kutch",
    "CAROBSTAND_LISTEN": "127.0.0.1:7000",
    "CAROBSTAND_STATUS_LISTEN": "127.0.0.1:7001",
    "CAROBSTAND_VMS_URL": "http://127.0.0.1:7002",
    "CAROBSTAND_HTTP_LISTEN": "127.0.0.1:7003",
    "CAROBSTAND_STORE_URL": "http://127.0.0.1:7004",
    "CAROBSTAND_INSECURE": "1",
}


def test_a_flag_overrides_its_environment_variable():
    cfg = settings.load(settings.EntrySettings, ["--vm", "e2"], ENTRY)
    assert (cfg.vm, cfg.region, cfg.insecure) == ("e2", "kutch", True)


def test_positional_arguments_may_stand_between_flags():
    argv = ["accept", "--author", "asha", "table.csv", "--", "-x"]
    cfg = settings.load(settings.TableSettings, argv, {})
    assert cfg.arguments == ("accept", "table.csv", "-x")
    assert cfg.author == "asha"


def test_an_empty_argument_of_a_command_stays_empty_and_others_are_refused():
    argv = ["set", "customer", "kutch-clinic", "", "rate_per_s=50"]
    assert settings.load(settings.TableSettings, argv, {}).arguments == tuple(argv)
    with pytest.raises(errors.SettingsError, match="''"):
        settings.parse(settings.TimelineSettings, ["a.log", ""], {})


@pytest.mark.parametrize(
    ("change", "names"),
    [
        ({"CAROBSTAND_VMM": "e1"}, ["CAROBSTAND_VMM", "'e1'"]),
        ({"CAROBSTAND_LISTEN": "localhost"}, ["--listen", "'localhost'", "10.1.2.3"]),
        ({"CAROBSTAND_LISTEN": "127.0.0.1:70000"}, ["--listen", "'127.0.0.1:70000'"]),
        ({"CAROBSTAND_LISTEN": "0.0.0.0:7000"}, ["--address", "0.0.0.0:7000"]),
        ({"CAROBSTAND_MAX_BODY_BYTES": "0"}, ["--max-body-bytes", "'0'", "from 1 to"]),
        ({"CAROBSTAND_REQUEST_TIMEOUT_S": "nan"}, ["--request-timeout-s", "'nan'"]),
        ({"CAROBSTAND_ROUTER": "random"}, ["--router", "'random'", "round-robin"]),
        ({"CAROBSTAND_STORE_URL": "ftp://x"}, ["--store-url", "'ftp://x'", "http://"]),
        ({"CAROBSTAND_FAILURE_DOMAIN": ""}, ["--failure-domain", "''", "a name"]),
        ({"CAROBSTAND_INSECURE": "maybe"}, ["--insecure", "'maybe'", "true or false"]),
        ({"CAROBSTAND_INSECURE": "0"}, ["--tls-cert", "--insecure", "none"]),
    ],
)
def test_an_invalid_value_prints_one_line_that_names_it(change, names, capsys):
    with pytest.raises(SystemExit) as exc:
        settings.load(settings.EntrySettings, [], {**ENTRY, **change})
    assert exc.value.code == 2
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert all(name in line for name in names), line


@pytest.mark.parametrize(
    "argv", [["--no-such-flag", "1"], ["--vm"], ["--vm", ""], ["stray"]]
)
def test_an_invalid_argument_prints_one_line(argv, capsys):
    with pytest.raises(SystemExit) as exc:
        settings.load(settings.EntrySettings, argv, ENTRY)
    assert exc.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_a_missing_failure_domain_is_refused():
    environ = {k: v for k, v in ENTRY.items() if "DOMAIN" not in k}
    with pytest.raises(errors.SettingsError, match="--failure-domain is missing"):
        settings.parse(settings.EntrySettings, [], environ)


@pytest.mark.parametrize("cls", settings.PROGRAMS)
def test_help_describes_every_setting(cls, capsys):
    with pytest.raises(SystemExit) as exc:
        settings.load(cls, ["--help"], {})
    assert exc.value.code == 0
    text = capsys.readouterr().out
    for variable in settings.variables(cls):
        assert variable in text
