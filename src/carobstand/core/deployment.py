"""What a process knows of its deployment from its settings: places, limits, bounds."""

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits and budgets that the deployment demands, in seconds and ratios.

    Attributes
    ----------
    drain_s : float
        A leaving backend server gets no new request later than this.
    stop_s : float
        A stopping process is killed after this time.
    apply_s : float
        A configuration is in force within this time of its acknowledgement.
    revoke_s : float
        A revoked key is refused within this time.
    store_return_s : float
        Registrations that lapsed during an outage of the store are back after this.
    retry_ratio, retry_window_s, retry_slack : float
        Requests sent more than once: at most the ratio of the requests of a service
        in a window, plus the slack.
    version_s : float
        No request begins on old weights later than this after newer ones were named.
    contact_s : float
        Time after a disturbance in which time limits are not judged.
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
    contact_s: float = 3.0


@attrs.frozen(kw_only=True)
class Deployment:
    """Place of one process in its deployment.

    Addresses are ``host:port``; an empty one is not served by this process.

    Attributes
    ----------
    vm : str
        Name of this VM.
    ip : str
        Address at which other processes reach this VM.
    failure_domain, region : str
    regions : dict of str to str
        Failure domain to region.
    ingress_address, readiness_address : str
        Where callers connect, and where the platform asks whether they may.
    internal_ports : tuple of int
        First and last port for connections between processes of the system.
    store_address : str
    backend_address, service : str
        Backend server beside this process and the service that it belongs to.
    heartbeat_s : float
        Interval in which backend servers report to the store.
    min_lease_s : float
        Shortest lease of the store.
    memory_bytes : int
        Memory of this VM for each process.
    link_bytes_per_s : float
        Rate of the VM's link in each direction.
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
    link_bytes_per_s: float = 0.0
    is_first_start: bool = False
    bounds: Bounds = attrs.field(factory=Bounds)


def split_address(address):
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
