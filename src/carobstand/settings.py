"""Settings of the programs: flags and ``CAROBSTAND_*`` variables, checked at startup.

A settings class is an attrs class whose fields are made by `_setting`; its help text
is the ``Attributes`` section of the docstring. The flag ``--max-body-bytes`` and the
variable ``CAROBSTAND_MAX_BODY_BYTES`` set the same field; the flag takes precedence. An
empty value of a setting whose default is empty counts as not set.
"""

import sys

import attrs

from carobstand import errors, setting_flags, setting_types

MIB = 1024 * 1024
"""Bytes in a mebibyte."""

EXIT_STATUS = 2
"""Exit status of a program that was started with invalid settings."""


def _setting(parse, default=attrs.NOTHING, **metadata):
    """Return an attrs field; `parse` converts text or raises ValueError."""
    return attrs.field(default=default, metadata={"parse": parse, **metadata})


@attrs.frozen(kw_only=True)
class _ProcessSettings:
    """Settings that entries and agents share.

    Attributes
    ----------
    vm
        Name of this VM in the VM list.
    failure_domain
        Failure domain of this VM.
    region
        Region of this VM.
    listen
        Address on which other carobstand processes connect.
    address
        Address advertised to other processes, if --listen is a wildcard.
    status_listen
        Address of /healthz, /readyz, /metrics and /status (HTTP).
    vms_url
        URL of the VM list.
    insecure
        Connect to other processes without TLS.
    tls_cert
        Certificate of this process, PEM.
    tls_key
        Private key of the certificate, PEM.
    tls_ca
        Certificates of the authorities that sign other processes' certificates, PEM.
    log_file
        File for log lines (JSON); standard error if not set.
    """

    vm: str = _setting(setting_types.name)
    failure_domain: str = _setting(setting_types.name)
    region: str = _setting(setting_types.name)
    listen: str = _setting(setting_types.address)
    address: str = _setting(setting_types.reachable_address, "")
    status_listen: str = _setting(setting_types.address)
    vms_url: str = _setting(setting_types.url)
    insecure: bool = _setting(setting_types.boolean, False)
    tls_cert: str = _setting(setting_types.path, "")
    tls_key: str = _setting(setting_types.path, "")
    tls_ca: str = _setting(setting_types.path, "")
    log_file: str = _setting(setting_types.path, "")


@attrs.frozen(kw_only=True)
class EntrySettings(_ProcessSettings):
    """Serve callers, route their requests to backend servers, and run the planner.

    Attributes
    ----------
    http_listen
        Address on which callers connect (HTTP/1.1 and HTTP/2).
    store_url
        URL of the configuration store.
    max_body_bytes
        Largest request body of a caller, in bytes.
    request_timeout_s
        Deadline of a request whose caller sets none, in seconds.
    leave_delay_s
        Time from failing the readiness check to closing the listener at a planned
        stop, in seconds; the load balancer needs it to detect the change.
    router
        Routing policy; the last two are baselines for benchmarks.
    """

    http_listen: str = _setting(setting_types.address)
    store_url: str = _setting(setting_types.url)
    max_body_bytes: int = _setting(setting_types.integer(1, MIB), MIB)
    request_timeout_s: float = _setting(setting_types.number(0.1, 86_400), 120.0)
    leave_delay_s: float = _setting(setting_types.number(0, 600), 2.0)
    router: str = _setting(
        setting_types.choice("carobstand", "round-robin", "least-in-flight"),
        "carobstand",
    )


@attrs.frozen(kw_only=True)
class AgentSettings(_ProcessSettings):
    """Fetch, verify and activate weights, and run requests at one backend server.

    Attributes
    ----------
    services
        Services of the backend server, separated by commas.
    backend_url
        URL of the backend server.
    backend_type
        Kind of the backend server.
    origin_url
        URL of the origin of weights.
    weights_listen
        Loopback address from which the engine reads weights.
    weights_memory_bytes
        Memory for verified chunks, in bytes.
    upload_slots
        Largest number of concurrent uploads of chunks to other agents.
    drain_timeout_s
        Maximum wait for requests in progress at a planned stop, in seconds.
    """

    services: tuple = _setting(setting_types.names)
    backend_url: str = _setting(setting_types.url)
    backend_type: str = _setting(setting_types.choice("engine", "plain"), "engine")
    origin_url: str = _setting(setting_types.url, "")
    weights_listen: str = _setting(setting_types.loopback, "127.0.0.1:0")
    weights_memory_bytes: int = _setting(
        setting_types.integer(MIB, 1 << 44), 1024 * MIB
    )
    upload_slots: int = _setting(setting_types.integer(1, 1024), 4)
    drain_timeout_s: float = _setting(setting_types.number(0, 86_400), 120.0)


@attrs.frozen(kw_only=True)
class TableSettings:
    """Read and change the table, and publish weights.

    Attributes
    ----------
    arguments
        Command and its arguments.
    store_url
        URL of the configuration store.
    origin_url
        URL of the origin of weights, for publish.
    entries
        Status addresses of entries, separated by commas, for status and watch.
    author
        Name of the operator, recorded in the history.
    """

    arguments: tuple = _setting(setting_types.free_text, (), positional=True)
    store_url: str = _setting(setting_types.url, "")
    origin_url: str = _setting(setting_types.url, "")
    entries: tuple = _setting(setting_types.addresses, ())
    author: str = _setting(setting_types.free_text, "unknown")


@attrs.frozen(kw_only=True)
class TimelineSettings:
    """Merge log files of several processes into one timeline.

    Attributes
    ----------
    files
        Log files, JSON lines.
    request
        Show only events of this request.
    vm
        Show only events of this VM.
    version
        Show only events of this version.
    html
        File for one self-contained HTML page; text is printed if not set.
    """

    files: tuple = _setting(setting_types.path, (), positional=True)
    request: str = _setting(setting_types.free_text, "")
    vm: str = _setting(setting_types.name, "")
    version: str = _setting(setting_types.name, "")
    html: str = _setting(setting_types.path, "")


@attrs.frozen(kw_only=True)
class ExplainSettings:
    """Show where a request would go now, without sending it.

    Attributes
    ----------
    entry
        IP address and first internal port of an entry.
    host
        Host of the request.
    path
        Path of the request.
    api_key
        API key of the customer. As a flag it is visible in the list of processes.
    prompt_tokens
        Tokens of the prompt.
    max_answer_tokens
        Maximum tokens of the answer; 0 for none.
    json
        Print JSON instead of a table.
    """

    entry: str = _setting(setting_types.reachable_address)
    host: str = _setting(setting_types.free_text)
    path: str = _setting(setting_types.free_text)
    api_key: str = _setting(setting_types.free_text, "")
    prompt_tokens: int = _setting(setting_types.integer(0, 2**31 - 1), 0)
    max_answer_tokens: int = _setting(setting_types.integer(0, 2**31 - 1), 0)
    json: bool = _setting(setting_types.boolean, False)


@attrs.frozen(kw_only=True)
class LocalSettings:
    """Run stand-ins, two entries and several agents on this machine, and report.

    Attributes
    ----------
    weights
        File or directory of weights; generated data if not set.
    weights_bytes
        Size of the generated data, in bytes.
    agents
        Number of agents.
    seed
        Seed of the data and of the traffic.
    log_file
        File for log lines (JSON); none are written if not set.
    """

    weights: str = _setting(setting_types.path, "")
    weights_bytes: int = _setting(setting_types.integer(1, 1 << 36), 64 * MIB)
    agents: int = _setting(setting_types.integer(1, 64), 6)
    seed: int = _setting(setting_types.integer(0, 1 << 31), 1)
    log_file: str = _setting(setting_types.path, "")


@attrs.frozen(kw_only=True)
class StandinSettings:
    """Run stand-ins for external systems, for tests, benchmarks and demos.

    Attributes
    ----------
    kinds
        Any of store, origin, vms, engine and plain, or all.
    listen
        Address of the first stand-in (HTTP); the others take the next ports.
    count
        Number of engines and of plain services.
    origin_bytes_per_s
        Rate limit of the origin, in bytes per second; 0 is unlimited.
    vms_lag_s
        Age of the VM list, in seconds.
    batch_limit
        Largest number of requests that an engine runs concurrently.
    token_s
        Time per token of a request, in seconds.
    prefill_miss_s
        Time per block of a prompt that is not in the prefix cache, in seconds.
    cache_blocks
        Blocks in the prefix cache of an engine.
    report_lag_s
        Age of load reports and cache events, in seconds.
    ignore_fence
        Engines accept commands with a stale fencing token.
    work_s
        Time per call of a plain service, in seconds.
    seed
        Seed of the injected faults.
    log_file
        File for log lines (JSON); standard error if not set.
    """

    kinds: tuple = _setting(
        setting_types.choice("store", "origin", "vms", "engine", "plain", "all"),
        positional=True,
    )
    listen: str = _setting(setting_types.loopback)
    count: int = _setting(setting_types.integer(1, 1024), 1)
    origin_bytes_per_s: float = _setting(setting_types.number(0, 1e12), 0.0)
    vms_lag_s: float = _setting(setting_types.number(0, 3600), 1.0)
    batch_limit: int = _setting(setting_types.integer(1, 1024), 16)
    token_s: float = _setting(setting_types.number(0, 10), 0.01)
    prefill_miss_s: float = _setting(setting_types.number(0, 10), 0.002)
    cache_blocks: int = _setting(setting_types.integer(1, 1 << 24), 4096)
    report_lag_s: float = _setting(setting_types.number(0, 60), 0.5)
    ignore_fence: bool = _setting(setting_types.boolean, False)
    work_s: float = _setting(setting_types.number(0, 3600), 0.0)
    seed: int = _setting(setting_types.integer(0, 1 << 31), 1)
    log_file: str = _setting(setting_types.path, "")


PROGRAMS = (
    EntrySettings,
    AgentSettings,
    TableSettings,
    TimelineSettings,
    ExplainSettings,
    LocalSettings,
    StandinSettings,
)
"""All settings classes; ``CAROBSTAND_*`` variables unknown to all are refused."""


def load(cls, argv, environ):
    """Return the settings of a program, or exit with one line on standard error.

    Parameters
    ----------
    cls : type
        One of `PROGRAMS`.
    argv : sequence of str
        Arguments without the program name.
    environ : mapping of str to str

    Returns
    -------
    cfg : object of type `cls`
    """
    try:
        return parse(cls, argv, environ)
    except errors.SettingsError as exc:
        exit_with_error(exc)


def exit_with_error(exc):
    """Print the message of `exc` in one line and exit with `EXIT_STATUS`."""
    message = exc.message if isinstance(exc, errors.CarobstandError) else str(exc)
    print(f"error: {' '.join(message.split())}", file=sys.stderr)
    raise SystemExit(EXIT_STATUS)


def parse(cls, argv, environ):
    """Return the settings of a program; see `load`.

    Raises
    ------
    SettingsError
        If a setting is unknown, missing or not allowed.
    """
    texts = _from_environ(cls, environ)
    texts.update(setting_flags.from_argv(cls, list(argv)))
    values = {}
    for field in attrs.fields(cls):
        if field.name in texts:
            values[field.name] = _parse_setting(field, texts[field.name])
        elif field.default is attrs.NOTHING:
            flag = setting_flags.flag(field)
            variable = setting_flags.variable(field)
            raise errors.SettingsError(
                f"{flag} is missing: set it or {variable}", step="settings"
            )
    cfg = cls(**values)
    _check_together(cfg)
    return cfg


def _parse_setting(field, text):
    if isinstance(text, tuple):
        return tuple(_parse_element(field, part) for part in text)
    if text == "" and field.default in ("", ()):
        return field.default
    return _parse_text(field, text)


def _parse_element(field, text):
    """Parse one positional argument; free text may be empty, as in ``set``."""
    if text == "" and field.metadata["parse"] is setting_types.free_text:
        return text
    return _parse_text(field, text)


def _parse_text(field, text):
    try:
        return field.metadata["parse"](text)
    except ValueError as exc:
        raise errors.SettingsError(
            f"{setting_flags.flag(field)}: {text!r} is not allowed, expected {exc}",
            step="settings",
        ) from exc


def _check_together(cfg):
    """Check settings that depend on each other."""
    if not isinstance(cfg, _ProcessSettings):
        return
    files = [name for name in ("tls_cert", "tls_key", "tls_ca") if getattr(cfg, name)]
    if not cfg.insecure and len(files) < 3:
        raise errors.SettingsError(
            "--tls-cert, --tls-key and --tls-ca are required unless --insecure is set; "
            f"set are: {', '.join(files) or 'none'}",
            step="settings",
        )
    if not cfg.address:
        try:
            setting_types.reachable_address(cfg.listen)
        except ValueError:
            raise errors.SettingsError(
                f"--address is missing: other processes cannot connect to {cfg.listen}",
                step="settings",
            ) from None
    if isinstance(cfg, AgentSettings) and cfg.backend_type == "engine":
        if not cfg.origin_url:
            raise errors.SettingsError(
                "--origin-url is missing: an engine needs the origin of weights",
                step="settings",
            )


def advertised_address(cfg):
    """Return the ``host:port`` that a process sends to others in its hello."""
    return cfg.address or cfg.listen


def variables(cls):
    """Return a dict of each setting's environment variable to its field."""
    return {
        setting_flags.variable(field): field
        for field in attrs.fields(cls)
        if not field.metadata.get("positional")
    }


def _from_environ(cls, environ):
    known = {name for program in PROGRAMS for name in variables(program)}
    for name in sorted(environ):
        if name.startswith(setting_flags.PREFIX) and name not in known:
            raise errors.SettingsError(
                f"{name}={environ[name]!r}: no setting has this name", step="settings"
            )
    return {
        field.name: environ[name]
        for name, field in variables(cls).items()
        if name in environ
    }
