"""Settings file that the platform gives to each process."""

from carobstand import errors
from carobstand.core import deployment
from carobstand.platform import fields

PATH_VARIABLE = "CAROBSTAND_CONFIG"
"""Environment variable with the path of the settings file."""

MAX_BYTES = 4 * 1024 * 1024
"""Largest settings file accepted."""


def load(path):
    """Read and check the settings file.

    Parameters
    ----------
    path : str

    Returns
    -------
    deployment : core.deployment.Deployment

    Raises
    ------
    SettingsError
        The message is one line with the file, the field and what is allowed.
    """
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_BYTES + 1)
    except OSError as exc:
        message = f"{path}: cannot be read: {exc.strerror}"
        raise errors.SettingsError(message, step="boot.load") from exc
    try:
        return decode(fields.parse(raw, "settings"))
    except errors.RecordError as exc:
        message = f"{path}: {exc.message}"
        raise errors.SettingsError(message, step="boot.load") from exc


def decode(record):
    """Return the `Deployment` of a settings record; raise RecordError."""
    listen = record.record("listen_addresses")
    limits = record.record("limits")
    store = record.record("platform")
    region = record.text("region", "")
    failure_domain = record.text("zone")
    return deployment.Deployment(
        vm=record.text("node_name"),
        ip=record.text("ip_address"),
        failure_domain=failure_domain,
        region=region,
        regions={failure_domain: region, **_regions(record)},
        ingress_address=_address(listen, "frontend"),
        readiness_address=_address(listen, "readiness"),
        internal_ports=_ports(record),
        store_address=_address(store, "address", required=True),
        backend_address=_address(record, "app"),
        service=record.text("service", ""),
        heartbeat_s=record.seconds("heartbeat_interval_ms", 1200),
        min_lease_s=store.seconds("min_ttl_ms", 1000),
        memory_bytes=int(limits.number("memory_mb", 0) * 1_000_000),
        max_descriptors=int(limits.number("file_descriptors", 0)),
        link_bytes_per_s=limits.number("link_mbps", 0) * 1e6 / 8,
        is_first_start=record.flag("bootstrap"),
        bounds=_bounds(record.record("bounds")),
    )


def _regions(record):
    zones = record.record("zones").data
    if not all(isinstance(value, str) for value in zones.values()):
        raise record.error("zones", "regions by failure domain")
    return zones


def _address(record, name, required=False):
    address = record.text(name) if required else record.text(name, "")
    if not address:
        return ""
    host, _, port = address.rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not digits or int(port) > deployment.MAX_PORT:
        raise record.error(name, "HOST:PORT")
    return address


def _ports(record):
    ports = record.items("internal_port_range")
    if (
        len(ports) != 2
        or not all(type(port) is int for port in ports)
        or not 0 < ports[0] <= ports[1] <= deployment.MAX_PORT
    ):
        raise record.error("internal_port_range", "[FIRST, LAST]")
    return tuple(ports)


def _bounds(record):
    defaults = deployment.Bounds()
    return deployment.Bounds(
        drain_s=record.seconds("drain_ms", defaults.drain_s * 1000),
        stop_s=record.number("grace_s", defaults.stop_s),
        apply_s=record.seconds("configuration_apply_ms", defaults.apply_s * 1000),
        revoke_s=record.seconds("revocation_ms", defaults.revoke_s * 1000),
        retry_ratio=record.number("retry_budget_ratio", defaults.retry_ratio),
        retry_window_s=record.number("budget_window_s", defaults.retry_window_s),
        retry_slack=record.number("retry_budget_slack", defaults.retry_slack),
        version_s=record.seconds("version_ms", defaults.version_s * 1000),
        evacuation_s=record.seconds("evacuation_ms", defaults.evacuation_s * 1000),
        contact_s=record.seconds("contact_ms", defaults.contact_s * 1000),
        cold_factor=record.number("warmup_overshoot", defaults.cold_factor),
        cold_slack=record.number("warmup_slack", defaults.cold_slack),
    )
