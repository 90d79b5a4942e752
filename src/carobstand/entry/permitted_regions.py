"""Looks up the regions that the current configuration allows to a request."""

from carobstand.core import routes


def find_route(config, req):
    """Return the route of a request in a configuration, or None.

    Parameters
    ----------
    config : core.routes.Configuration
    req : core.exchange.Inbound
    """
    host = req.host.partition(":")[0]
    return routes.find_route(config, host, req.target.decode("latin-1"))


def of_call(fleet, call):
    """Return the regions whose servers may run a call now; None for all.

    The route and the customer count as the current configuration has them. One that
    was removed since the request arrived counts as it was then.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    call : entry.forwarding.Call
    """
    config = fleet.configuration
    if call.permitted_regions is None or call.permitted_regions[0] is not config:
        route = config and find_route(config, call.req)
        customer = config and config.customers.get(call.req.key)
        regions = routes.permitted_regions(
            route or call.route, customer or call.customer_record
        )
        call.permitted_regions = (config, regions)
    return call.permitted_regions[1]
