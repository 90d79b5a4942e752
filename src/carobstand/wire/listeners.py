"""Listening sockets of a process."""

import anyio

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
