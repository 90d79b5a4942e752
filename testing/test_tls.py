"""Guards against connections between processes without mutual certificates."""

import anyio
import attrs
import pytest
import trustme

from carobstand import errors
from carobstand.wire import connection, tls
from testing.test_connection import hello, ignore, run


@attrs.frozen
class Files:
    """The settings that `tls` reads."""

    tls_cert: str
    tls_key: str
    tls_ca: str
    vm: str = "e1"
    insecure: bool = False


def write_files(folder, ca, trusted):
    """Write a certificate issued by `ca`, with `trusted` as the trusted authority."""
    cert = ca.issue_cert("127.0.0.1")
    cfg = Files(*(str(folder / name) for name in ("cert.pem", "key.pem", "ca.pem")))
    cert.cert_chain_pems[0].write_to_path(cfg.tls_cert)
    cert.private_key_pem.write_to_path(cfg.tls_key)
    trusted.cert_pem.write_to_path(cfg.tls_ca)
    return cfg


@pytest.fixture
def ca():
    return trustme.CA()


@pytest.fixture
def cfg(tmp_path, ca):
    return write_files(tmp_path, ca, ca)


async def on_connection(conn):
    await connection.run(conn, ignore)


async def dial(server_cfg, context, before=None):
    """Dial a server with `server_cfg`; return the error of the dialing side or None."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tg:
        tg.start_soon(
            connection.serve, listener, hello, on_connection, tls.acceptor(server_cfg)
        )
        if before is not None:
            before()
        try:
            conn = await connection.dial(f"127.0.0.1:{port}", hello(), context)
            await conn.stream.aclose()
            failed = None
        except errors.CarobstandError as exc:
            failed = exc
        tg.cancel_scope.cancel()
    return failed


def check(server_cfg, context, expected, before=None):
    async def body():
        failed = await dial(server_cfg, context, before)
        if expected is None:
            assert failed is None
        else:
            assert isinstance(failed, errors.HandshakeError)
            assert expected in failed.message

    run(body)


def test_processes_of_one_authority_connect(cfg):
    check(cfg, tls.client_context(cfg), None)


def test_a_peer_without_certificate_is_refused_with_a_reason(cfg, ca):
    bare = tls.ssl.SSLContext(tls.ssl.PROTOCOL_TLS_CLIENT)
    bare.check_hostname = False
    ca.configure_trust(bare)
    check(cfg, bare, "refused by the peer: no certificate")


def test_a_certificate_of_another_authority_is_refused(cfg, ca, tmp_path):
    folder = tmp_path / "other"
    folder.mkdir()
    other = write_files(folder, trustme.CA(), ca)
    check(cfg, tls.client_context(other), "may not trust the certificate of this")


def test_a_server_of_another_authority_is_refused(cfg, tmp_path):
    folder = tmp_path / "other"
    folder.mkdir()
    other = write_files(folder, trustme.CA(), trustme.CA())
    check(other, tls.client_context(cfg), "certificate of the peer is not trusted")


def test_a_plain_peer_of_a_server_with_tls_is_refused(cfg):
    check(cfg, None, "closed before its hello")


def test_a_peer_with_tls_of_a_server_without_it_is_refused(cfg):
    context = tls.client_context(cfg)
    check(attrs.evolve(cfg, insecure=True), context, "does not use TLS")


def test_new_files_are_used_without_restart(cfg, tmp_path):
    former_client = tls.client_context(cfg)
    new_ca = trustme.CA()

    def replace_files():
        write_files(tmp_path, new_ca, new_ca)

    check(cfg, former_client, "", before=replace_files)
    check(cfg, tls.client_context(cfg), None)


def test_mismatched_files_leave_the_previous_ones_in_use(cfg, tmp_path, ca):
    former = tls.server_context(cfg)
    ca.issue_cert("127.0.0.1").private_key_pem.write_to_path(cfg.tls_key)
    assert tls.server_context(cfg) is former
    write_files(tmp_path, ca, ca)
    assert tls.server_context(cfg) is not former


@pytest.mark.parametrize("name", tls.FILES)
def test_a_file_that_cannot_be_loaded_at_startup_is_named(cfg, name):
    with open(getattr(cfg, name), "w") as file:
        file.write("not a certificate")
    flag = "--" + name.replace("_", "-")
    with pytest.raises(errors.SettingsError, match=flag):
        tls.acceptor(cfg)


def test_without_tls_the_process_logs_it(cfg, monkeypatch):
    events = []
    monkeypatch.setattr(tls.logs, "event", lambda name, **_: events.append(name))
    assert tls.acceptor(attrs.evolve(cfg, insecure=True)) is None
    assert events == ["tls.insecure"]


def test_a_peer_that_stops_in_the_tls_handshake_is_dropped(cfg, monkeypatch):
    monkeypatch.setattr(connection, "HANDSHAKE_TIMEOUT_S", 0.2)

    async def body():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tg:
            tg.start_soon(
                connection.serve, listener, hello, on_connection, tls.acceptor(cfg)
            )
            stream = await anyio.connect_tcp("127.0.0.1", port)
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
            tg.cancel_scope.cancel()

    run(body)


def test_a_handshake_that_ends_early_is_reported():
    assert tls.reason(anyio.EndOfStream()) == "peer closed during the TLS handshake"
    assert "ValueError" in tls.reason(ValueError())


def test_tls_1_2_is_refused(cfg):
    context = tls.ssl.SSLContext(tls.ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.maximum_version = tls.ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(cfg.tls_ca)
    context.load_cert_chain(cfg.tls_cert, cfg.tls_key)

    async def body():
        assert await dial(cfg, context) is not None

    run(body)
