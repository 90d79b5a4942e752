"""Entries and servers in several failure domains, for tests of where requests may run.

Failure domain ``a`` is in region ``north``, as are the entries; ``b`` is in ``south``.
"""

import contextlib

import anyio

from carobstand import http1_server
from carobstand.core import (
    announcements,
    engine_load,
    exchange,
    permit_rates,
    permits,
    placement,
    registry,
    routes,
)
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding
from carobstand.standin.platform import kv
from testing import platform_builders as build
from testing import platform_fleet

REGIONS = {"a": "north", "b": "south"}


def forwarder(domains, **changes):
    """Return a `Forwarder` without a network.

    Parameters
    ----------
    domains : dict of str to str
        Failure domain of each engine, by server id.
    **changes
        Fields of the engines' load reports.
    """
    servers = {
        key: build.registration(key, failure_domain=domain)
        for key, domain in domains.items()
    }
    dep = build.deployment_of("e1", "10.0.0.1", regions=REGIONS)
    state = fleets.Fleet(dep, None, servers=registry.Registry(servers=servers))
    fwd = forwarding.Forwarder(state)
    configure(fwd)
    for server in servers.values():
        report = build.load_report(server, received_at=anyio.current_time(), **changes)
        engine_load.put(fwd.loads, report)
    return fwd


def configure(fwd, route=(), customer=()):
    """Replace the configuration by one with these allowed regions."""
    fwd.fleet.configuration = routes.Configuration(
        version=1,
        routes={"h": {"/a/": build.route(permitted_regions=frozenset(route))}},
        services={"drafter": build.service()},
        customers={
            "k1": routes.Customer(name="x", permitted_regions=frozenset(customer))
        },
    )


def call(**changes):
    """Return a call that arrives now, of a customer with the API key ``k1``."""
    now = anyio.current_time()
    fields = {
        "req": exchange.Inbound(method=b"POST", target=b"/a/", host="h", key="k1"),
        "body": b"",
        "route": build.route(),
        "service": "drafter",
        "customer": "x",
        "reply": http1_server.Reply(None),
        "size": placement.Size(964, 119),
        "terms": build.terms(arrived=now, target=now + 0.405, deadline=now + 6.0),
    }
    return forwarding.Call(**{**fields, **changes})


def announce_limit(fwd, server_id, limit, interval_s):
    """Make a server's limit known, and the interval between permits for it."""
    fwd.fleet.announced.by_server[server_id] = announcements.Announcement(
        1000, limit=limit
    )
    holder = fwd.limits.holders.setdefault(server_id, permits.Holder())
    holder.inquiries[permit_rates.Rank.FIRST].interval_s = interval_s


async def add_servers(fleet, count=1, **options):
    """Add `count` engines and plain servers to each failure domain."""
    for domain in REGIONS:
        for number in range(1, count + 1):
            for kind, service in (("i", "drafter"), ("d", "desk")):
                await platform_fleet.add_engine(
                    fleet,
                    f"{kind}-{domain}-{number}",
                    service,
                    failure_domain=domain,
                    **options,
                )


@contextlib.asynccontextmanager
async def running(entries=1, count=1, **options):
    """Run entries with `count` servers of each service and domain; yield the fleet."""
    async with platform_fleet.deployed(entries) as fleet:
        await add_servers(fleet, count, **options)
        for entry in fleet.entries.values():
            await platform_fleet.until_ready(entry)
        await anyio.sleep(1.0)
        yield fleet


def run_running(check, timeout_s=30.0, **options):
    """Run ``check(fleet)`` in a deployment of `running`."""

    async def scenario():
        async with running(**options) as fleet:
            await check(fleet)

    platform_fleet.run(scenario, timeout_s)


async def limit_regions(fleet, route=(), customer=()):
    """Set the allowed regions of all routes and of the customer; wait until applied."""
    limited = [
        {**item, "allowed_regions": list(route)}
        for item in fleet.configuration["routes"]
    ]
    tenant = {"name": "acme", "api_keys": ["k1"], "allowed_regions": list(customer)}
    platform_fleet.configure(fleet, routes=limited, tenants=[tenant])
    await anyio.sleep(2 * platform_fleet.CHANGE_DELAY_S)


async def evacuate(fleet, domain):
    """Write the mark of a failure domain, and wait until it is applied."""
    kv.write(fleet.store, f"op/evacuate/{domain}", b"{}")
    await anyio.sleep(2 * platform_fleet.CHANGE_DELAY_S)


async def revoke(fleet, domain):
    """Remove the mark of a failure domain, and wait until that is applied."""
    kv.remove(fleet.store, f"op/evacuate/{domain}")
    await anyio.sleep(2 * platform_fleet.CHANGE_DELAY_S)


def arrivals(fleet, domain):
    """Return the number of requests that reached the servers of a failure domain."""
    return sum(
        len(server.arrivals)
        for server in fleet.engines.values()
        if server.failure_domain == domain
    )


async def send_series(fleet, path="/q/x", count=12, **options):
    """Send requests in turn; return the set of their statuses."""
    return {
        (await platform_fleet.send_request(fleet, path, **options)).status
        for _ in range(count)
    }
