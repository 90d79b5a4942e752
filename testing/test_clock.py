"""Guards against events ordered before the events that caused them."""

from carobstand import clock


def test_a_receive_stamp_follows_its_send_stamp_despite_a_slow_wall_clock():
    sender = clock.HybridClock(wall_ms=lambda: 5000)
    receiver = clock.HybridClock(wall_ms=lambda: 1000)
    sent = sender.tick()
    assert receiver.merge(sent) > sent


def test_stamps_increase_while_the_wall_clock_goes_back():
    times = iter([3000, 2000, 1000])
    clk = clock.HybridClock(wall_ms=lambda: next(times))
    stamps = [clk.tick() for _ in range(3)]
    assert stamps == sorted(set(stamps))


def test_a_stamp_too_far_ahead_is_not_adopted():
    local = clock.HybridClock(wall_ms=lambda: 1000)
    assert local.merge(2**63 - 1) < 2**63 - 1
    near = (1000 + clock.MAX_AHEAD_MS) << clock.COUNTER_BITS
    assert local.merge(near) > near
