"""VM list of the platform: interface and HTTP adapter."""

import attrs

from carobstand import errors
from carobstand.platform import http


@attrs.frozen
class Vm:
    """One VM of the VM list.

    `role` is ``entry`` or ``agent``; `address` is ``host:port`` of the system's
    process on the VM; `leaving` is set if the platform is about to stop the VM.
    """

    vm: str
    role: str
    address: str
    failure_domain: str
    region: str
    services: tuple = ()
    leaving: bool = False


@attrs.frozen
class VmList:
    """Calls of the VM list: ``fetch() -> tuple of Vm``, ``close()``."""

    fetch: object
    close: object


def http_vm_list(url, timeout_s=2.0):
    """Return a `VmList` over HTTP.

    Parameters
    ----------
    url : str
    timeout_s : float

    Returns
    -------
    vm_list : VmList
    """
    client = http.client(url, timeout_s)

    async def fetch():
        resp = await http.call(
            client, errors.StoreUnavailableError, "vms.fetch", "GET", "/v1/vms"
        )
        try:
            return tuple(_parse(line) for line in resp.json()["vms"])
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.StoreUnavailableError(
                f"malformed VM list: {exc}", step="vms.parse", peer=url
            ) from exc

    return VmList(fetch, client.aclose)


def _parse(line):
    return Vm(
        vm=str(line["vm"]),
        role=str(line["role"]),
        address=str(line["address"]),
        failure_domain=str(line["failure_domain"]),
        region=str(line["region"]),
        services=tuple(line.get("services", ())),
        leaving=bool(line.get("leaving", False)),
    )
