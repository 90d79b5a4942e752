"""Mutual TLS between carobstand processes, with files that may change at run time.

Both sides present a certificate signed by an authority in ``tls_ca``. The name in the
certificate is not checked, because VMs are replaced and change addresses: a peer only
proves that the authority issued its certificate.
"""

import os
import ssl

import anyio
import attrs
from anyio.streams import tls as anyio_tls

from carobstand import errors, logs

FILES = ("tls_cert", "tls_key", "tls_ca")
"""Settings with the paths of the files of a context."""

REASONS = {
    "CERTIFICATE_VERIFY_FAILED": "certificate of the peer is not trusted",
    "TLSV1_ALERT_UNKNOWN_CA": "peer does not trust the certificate of this process",
    "TLSV1_ALERT_DECRYPT_ERROR": "peer does not trust the certificate of this process",
    "SSLV3_ALERT_CERTIFICATE_EXPIRED": "certificate of this process has expired",
    "HTTP_REQUEST": "peer does not use TLS",
    "WRONG_VERSION_NUMBER": "peer does not use TLS",
    "UNEXPECTED_EOF_WHILE_READING": "peer closed during the TLS handshake",
    "UNSUPPORTED_PROTOCOL": "peer offers no TLS 1.3",
}
"""Descriptions of OpenSSL reason codes in terms of what an operator can change."""


@attrs.define
class LoadedContext:
    """A context, and the status of its files when they were last loaded."""

    file_stats: tuple
    context: ssl.SSLContext


_LOADED = {}


def server_context(cfg):
    """Return the context for accepted connections, or None if ``cfg.insecure``.

    Parameters
    ----------
    cfg : settings.EntrySettings or settings.AgentSettings

    Returns
    -------
    context : ssl.SSLContext or None

    Raises
    ------
    SettingsError
        If the files cannot be loaded and no earlier context exists.
    """
    return _current(cfg, ssl.PROTOCOL_TLS_SERVER)


def client_context(cfg):
    """Return the context for outgoing connections, as `server_context` does."""
    return _current(cfg, ssl.PROTOCOL_TLS_CLIENT)


def acceptor(cfg):
    """Return an async callable that wraps an accepted stream, or None without TLS.

    Each call of it uses the current files.

    Raises
    ------
    SettingsError
        If the files cannot be loaded.
    """
    if server_context(cfg) is None:
        logs.event(
            "tls.insecure", detail="connections between processes are unencrypted"
        )
        return None

    async def accept(stream):
        return await anyio_tls.TLSStream.wrap(
            stream,
            server_side=True,
            ssl_context=server_context(cfg),
            standard_compatible=False,
        )

    return accept


def check_certificate(stream, address):
    """Raise HandshakeError unless the peer of a TLS stream sent a certificate."""
    if not stream.extra(anyio_tls.TLSAttribute.peer_certificate, None):
        raise errors.HandshakeError(
            "no certificate: processes connect with mutual TLS",
            step="tls.check",
            peer=address,
        )


def reason(exc):
    """Return why a TLS handshake failed, as one line."""
    if isinstance(exc, anyio.EndOfStream | anyio.BrokenResourceError):
        if not isinstance(exc.__cause__, ssl.SSLError):
            return REASONS["UNEXPECTED_EOF_WHILE_READING"]
        exc = exc.__cause__
    code = getattr(exc, "reason", None)
    return REASONS.get(code) or f"TLS failed: {code or str(exc) or type(exc).__name__}"


def _current(cfg, protocol):
    """Return the context for `cfg`, reloaded if a file has changed.

    If the changed files cannot be loaded, the previous context stays in use and loading
    is tried again once they change again: a key and its certificate are replaced one
    after the other.
    """
    if cfg.insecure:
        return None
    key = (protocol, *(getattr(cfg, name) for name in FILES))
    file_stats = tuple(_file_stat(getattr(cfg, name)) for name in FILES)
    previous = _LOADED.get(key)
    if previous is not None and previous.file_stats == file_stats:
        return previous.context
    try:
        context = _load(cfg, protocol)
    except OSError as exc:
        if previous is None:
            raise errors.SettingsError(str(exc), step="tls.load") from exc
        logs.event("tls.reload_failed", error=str(exc))
        previous.file_stats = file_stats
        return previous.context
    if previous is not None:
        logs.event("tls.reloaded", files=[getattr(cfg, name) for name in FILES])
    _LOADED[key] = LoadedContext(file_stats, context)
    return context


def _file_stat(path):
    """Return values that change if the file is replaced; None without a file."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def _load(cfg, protocol):
    """Return a new context; raise an OSError that names the faulty setting."""
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # `check_certificate` refuses a peer without a certificate, so that it gets the
        # reason in a frame: anyio drops the alert that OpenSSL would send. A
        # certificate that is sent is verified.
        context.verify_mode = ssl.CERT_OPTIONAL
    name = "tls_cert"
    try:
        _check_readable(cfg.tls_cert)
        name = "tls_key"
        _check_readable(cfg.tls_key)
        name = "tls_cert", "tls_key"
        context.load_cert_chain(cfg.tls_cert, cfg.tls_key, password=_reject_password)
        name = "tls_ca"
        _check_readable(cfg.tls_ca)
        context.load_verify_locations(cfg.tls_ca)
    except (OSError, ValueError) as exc:
        names = (name,) if isinstance(name, str) else name
        files = ", ".join(
            f"--{name.replace('_', '-')} {getattr(cfg, name)!r}" for name in names
        )
        detail = getattr(exc, "reason", None) or getattr(exc, "strerror", None) or exc
        raise OSError(f"{files}: cannot be loaded: {detail}") from exc
    return context


def _check_readable(path):
    """Raise OSError if `path` cannot be read; ssl does not say which file failed."""
    with open(path, "rb"):
        pass


def _reject_password():
    """Reject an encrypted key; OpenSSL would prompt for its password."""
    raise ValueError("the key is encrypted; only unencrypted keys are read")
