"""The deployment of a process as its settings describe it: location and limits."""

import functools
import ipaddress

import attrs

MAX_PORT = 65535

MAX_KNOWN_ADDRESSES = 32768
"""Addresses whose check is remembered, as each load report of an engine names one."""


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits and budgets that the deployment requires, in seconds and ratios.

    Attributes
    ----------
    drain_s : float
        A leaving backend server receives no new requests after this time.
    stop_s : float
        A stopping process is killed after this time.
    apply_s : float
        A configuration takes effect within this time of its acknowledgement.
    revoke_s : float
        A revoked API key is rejected within this time.
    store_return_s : float
        Registrations whose lease lapsed during an outage of the store are restored
        within this time.
    retry_ratio, retry_window_s, retry_slack : float
        Retry budget of a service: in a window, at most the ratio of its requests plus
        the slack are sent more than once.
    version_s : float
        No request starts on old weights later than this after the operators named a
        newer version.
    evacuation_s : float
        No request reaches a failure domain later than this after the operator marked
        it as evacuated.
    contact_s : float
        Time after a disturbance in which the time limits do not apply.
    cold_factor, cold_slack : float
        In any second, all entries together send a cold server at most this multiple of
        the rate that it sustains, plus the slack.
    """

    drain_s: float = 2.0
    stop_s: float = 8.0
    apply_s: float = 2.0
    revoke_s: float = 5.0
    store_return_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 100.0
    version_s: float = 8.0
    evacuation_s: float = 5.0
    contact_s: float = 3.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0


@attrs.frozen(kw_only=True)
class Deployment:
    """Location of one process in its deployment, its addresses and its limits.

    Addresses are ``host:port``; the process does not listen on an empty one.

    Attributes
    ----------
    vm : str
        Name of this VM.
    ip : str
        IP address at which other processes reach this VM.
    failure_domain, region : str
    regions : dict of str to str
        Failure domain to region.
    ingress_address, readiness_address : str
        Where callers connect, and where the platform checks readiness.
    internal_ports : tuple of int
        First and last port for connections between the processes of the system.
    store_address : str
    backend_address, service : str
        Backend server on the same VM as this process, and its service.
    heartbeat_s : float
        Interval at which backend servers report to the store.
    min_lease_s : float
        Shortest lease time that the store grants.
    memory_bytes : int
        Memory of this VM that each process may use.
    max_descriptors : int
        File descriptors that each process may use, 0 if not known.
    link_bytes_per_s : float
        Bandwidth of the VM's link in each direction.
    is_first_start : bool
        Whether the whole system starts for the first time.
    bounds : Bounds
    """

    vm: str
    ip: str
    failure_domain: str
    region: str
    regions: dict
    ingress_address: str = ""
    readiness_address: str = ""
    internal_ports: tuple
    store_address: str
    backend_address: str = ""
    service: str = ""
    heartbeat_s: float = 1.2
    min_lease_s: float = 1.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    link_bytes_per_s: float = 0.0
    is_first_start: bool = False
    bounds: Bounds = attrs.field(factory=Bounds)


def split_address(address):
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@functools.lru_cache(maxsize=MAX_KNOWN_ADDRESSES)
def is_address(address):
    """Whether a text is ``ip:port`` of a process to connect to.

    A host name is none: the event loop would wait for its resolution. A port that is
    out of range raises OverflowError where it is used.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        return False
    if ip.is_unspecified or ip.is_multicast or "%" in host:
        return False
    return 0 < int(port) <= MAX_PORT
