"""Listening sockets of a process."""

import anyio
from anyio.streams import tls as anyio_tls

from carobstand import errors
from carobstand.wire import connection


async def open_listener(address):
    """Return a TCP listener.

    Parameters
    ----------
    address : str
        ``host:port``.

    Returns
    -------
    listener : anyio.abc.Listener

    Raises
    ------
    SettingsError
        If the address cannot be bound.
    """
    host, port = connection.split_address(address)
    try:
        return await anyio.create_tcp_listener(local_host=host, local_port=port)
    except OSError as exc:
        raise errors.SettingsError(
            f"listen: cannot bind {address}: {exc.strerror or exc}",
            step="listeners.open",
        ) from exc


def secure(listener, context):
    """Return `listener` with TLS, or as it is if `context` is None."""
    if context is None:
        return listener
    return anyio_tls.TLSListener(listener, context, standard_compatible=False)
