import h11
import pytest

from carobstand.core import event_stream, exchange, registry
from carobstand.platform import http_headers
from testing import platform_builders as build


def headers_of(*pairs):
    """Return the headers of a request as h11 parses them."""
    return h11.Request(
        method="POST", target="/a/", headers=[("Host", "one.example"), *pairs]
    ).headers


def decode(*pairs):
    return http_headers.decode_request(b"POST", b"/a/", headers_of(*pairs))


def names(headers):
    return [name.lower() for name, _ in headers]


def test_a_request_is_decoded():
    req = decode(
        ("Request-Id", "r1"),
        ("Deadline-Ms", "6097"),
        ("Api-Key", "k1"),
        ("Token-Usage", "1460,80"),
        ("Last-Event-Id", "12"),
        ("Length-Hint", "40"),
    )
    assert req.host == "one.example"
    assert req.request_id == "r1"
    assert req.deadline_s == 6.097
    assert req.key == "k1"
    assert (req.prompt_tokens, req.max_answer_tokens) == (1460, 80)
    assert req.resume_after == 12
    assert req.answer_hint == 40


def test_hop_by_hop_headers_and_those_the_system_sets_are_dropped():
    req = decode(
        ("Connection", "x-private, keep-alive"),
        ("X-Private", "1"),
        ("X-Public", "2"),
        ("Keep-Alive", "5"),
        ("Api-Key", "k1"),
        ("Tenant", "somebody"),
        ("Expected-Instance", "i-9"),
        ("Expected-Version", "9"),
        ("Request-Priority", "0"),
        ("Path", "10.0.0.1:1=0-9"),
        ("Deadline-Ms", "1000"),
    )
    assert names(req.headers) == [b"host", b"x-public"]


@pytest.mark.parametrize("value", ["soon", "nan", "inf", ""])
def test_a_deadline_that_is_not_a_number_is_rejected(value):
    with pytest.raises(ValueError):
        decode(("Deadline-Ms", value))


@pytest.mark.parametrize("value", ["", "x", "1", "1,x", "-3,4", "\u00b2,3"])
def test_invalid_token_counts_are_read_as_zero(value):
    req = decode((b"Token-Usage", value.encode("utf-8")))
    assert (req.prompt_tokens, req.max_answer_tokens) in (
        (0, 0),
        (1, 0),
        (0, 3),
        (0, 4),
    )


def test_backend_headers_carry_the_customer_and_the_remaining_time():
    req = decode(("Request-Id", "r1"), ("Deadline-Ms", "6000"), ("Tenant", "evil"))
    out = exchange.Outbound(server_id="i-1", deadline_s=2.5, customer="acme", version=3)
    sent = dict(http_headers.backend_headers(req, out, b"body"))
    assert sent[b"Deadline-Ms"] == b"2500"
    assert sent[b"Expected-Instance"] == b"i-1"
    assert sent[b"Expected-Version"] == b"3"
    assert sent[b"Tenant"] == b"acme"
    assert sent[b"Content-Length"] == b"4"
    assert sent[b"Request-Id"] == b"r1"


def test_a_resumed_stream_requests_the_events_after_the_last_one():
    req = decode(("Last-Event-Id", "3"))
    out = exchange.Outbound(server_id="i-1", deadline_s=1.0, resume_after=9)
    sent = http_headers.backend_headers(req, out, b"")
    assert [v for name, v in sent if name.lower() == b"last-event-id"] == [b"9"]


def test_a_request_without_a_body_gets_no_content_length():
    req = http_headers.decode_request(b"GET", b"/a/", headers_of())
    out = exchange.Outbound(server_id="i-1", deadline_s=1.0)
    assert b"content-length" not in names(http_headers.backend_headers(req, out, b""))


def test_a_response_head_is_decoded():
    raw = h11.Response(
        status_code=503,
        headers=[
            ("Request-Id", "r1"),
            ("Not-Executed", "1"),
            ("Server-Signature", "s"),
            ("Weight-Versions", "4"),
            ("Server-Load", "3,1,8"),
            ("Connection", "close"),
            ("Content-Length", "0"),
        ],
    ).headers
    head = http_headers.decode_response_head(503, raw)
    assert head.not_run
    assert head.is_signed
    assert head.version == 4
    assert head.load == exchange.Load(running=3, waiting=1, slots=8)
    assert b"connection" not in names(head.headers)
    assert b"content-length" not in names(head.headers)


@pytest.mark.parametrize(
    "value", ["3,1,8,0", "3,1,8,-250", "3,1,8,2.5", "3,1,8,", "3,1,8,250,1", "9" * 400]
)
def test_a_malformed_load_is_ignored(value):
    raw = h11.Response(status_code=200, headers=[("Server-Load", value)]).headers
    assert http_headers.decode_response_head(200, raw).load is None


@pytest.mark.parametrize(("value", "slowness"), [("3,1,8,250", 2.5), ("3,1,8", None)])
def test_a_load_may_tell_the_slowness_of_the_server(value, slowness):
    raw = h11.Response(status_code=200, headers=[("Server-Load", value)]).headers
    load = http_headers.decode_response_head(200, raw).load
    assert load == exchange.Load(running=3, waiting=1, slots=8, slowness=slowness)


def test_only_complete_events_are_passed_on_however_the_data_is_split():
    raw = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
    for size in range(1, len(raw)):
        state = event_stream.EventStream()
        passed = b""
        for start in range(0, len(raw), size):
            passed += event_stream.feed(state, raw[start : start + size])
            assert not passed or passed.endswith(b"\n\n")
        assert passed == raw
        assert (state.last_id, state.events, state.pending) == (3, 3, bytearray())
        assert state.in_order


def test_a_repeated_event_is_detected():
    state = event_stream.EventStream()
    event_stream.feed(state, b"id: 1\ndata: a\n\nid: 1\ndata: a\n\n")
    assert not state.in_order


def test_a_gap_after_a_resume_is_detected():
    state = event_stream.EventStream()
    event_stream.feed(state, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    event_stream.resume(state)
    event_stream.feed(state, b"id: 4\ndata: d\n\n")
    assert not state.in_order


def test_a_resume_after_the_last_complete_event_is_in_order():
    state = event_stream.EventStream()
    event_stream.feed(state, b"id: 1\ndata: a\n\nid: 2\nda")
    event_stream.resume(state)
    assert event_stream.feed(state, b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert state.in_order


def test_ids_with_gaps_from_the_start_may_have_gaps_after_a_resume():
    state = event_stream.EventStream()
    event_stream.feed(state, b"id: 1\ndata: a\n\nid: 5\ndata: b\n\n")
    event_stream.resume(state)
    event_stream.feed(state, b"id: 9\ndata: c\n\n")
    assert state.in_order


def test_an_incomplete_event_is_held_back():
    state = event_stream.EventStream()
    assert event_stream.feed(state, b"id: 1\ndata: a\n\nid: 2\nda") == (
        b"id: 1\ndata: a\n\n"
    )
    assert state.pending == b"id: 2\nda"
    assert state.last_id == 1


def registry_with_server():
    state = registry.Registry()
    registry.put(state, build.registration("i-1"))
    return state


def test_a_server_removed_without_a_grace_period_is_dropped_at_once():
    state = registry_with_server()
    registry.remove(state, "i-1", now=5.0, grace_s=0.0)
    assert not state.servers


def test_a_server_whose_registration_lapsed_is_used_for_the_grace_period():
    state = registry_with_server()
    registry.remove(state, "i-1", now=5.0, grace_s=2.0)
    assert "i-1" in state.servers
    assert registry.expire(state, 6.9) == []
    assert registry.expire(state, 7.0) == ["i-1"]
    assert not state.servers


def test_a_server_that_registers_again_in_time_stays():
    state = registry_with_server()
    registry.remove(state, "i-1", now=5.0, grace_s=2.0)
    registry.put(state, build.registration("i-1"))
    assert registry.expire(state, 9.0) == []
    assert "i-1" in state.servers


def test_a_draining_server_whose_registration_lapsed_is_dropped_at_once():
    state = registry_with_server()
    registry.put(state, build.registration("i-1", is_ready=False))
    registry.remove(state, "i-1", now=5.0, grace_s=2.0)
    assert not state.servers


def test_a_second_removal_does_not_extend_the_grace_period():
    state = registry_with_server()
    registry.remove(state, "i-1", now=5.0, grace_s=2.0)
    registry.remove(state, "i-1", now=6.0, grace_s=2.0)
    assert registry.expire(state, 7.0) == ["i-1"]


@pytest.mark.parametrize("drain_s", [1.0, 2.0, 3.0])
def test_the_grace_period_is_shorter_than_the_drain_time(drain_s):
    bounds = build.bounds(drain_s=drain_s, store_return_s=2.0)
    grace_s = registry.lapse_grace_s(bounds, since_failure_s=0.1)
    assert 0 < grace_s <= drain_s - registry.LAPSE_MARGIN_S
    assert registry.lapse_grace_s(bounds, since_failure_s=2.5) == 0.0


def test_a_full_read_drops_servers_that_it_does_not_list():
    state = registry_with_server()
    other = build.registration("i-2")
    registry.replace_all(state, [other], now=5.0, grace_s=0.0)
    assert list(state.servers) == ["i-2"]
