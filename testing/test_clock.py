"""Guards against events ordered against their cause."""

from carobstand import clock


def test_a_receipt_is_stamped_after_its_send_though_the_wall_clock_is_behind():
    sender = clock.HybridClock(wall_ms=lambda: 5000)
    receiver = clock.HybridClock(wall_ms=lambda: 1000)
    sent = sender.tick()
    assert receiver.merge(sent) > sent


def test_stamps_rise_while_the_wall_clock_falls():
    times = iter([3000, 2000, 1000])
    clk = clock.HybridClock(wall_ms=lambda: next(times))
    stamps = [clk.tick() for _ in range(3)]
    assert stamps == sorted(set(stamps))


def test_a_stamp_far_ahead_does_not_poison_the_clock():
    local = clock.HybridClock(wall_ms=lambda: 1000)
    assert local.merge(2**63 - 1) < 2**63 - 1
    near = (1000 + clock.MAX_AHEAD_MS) << clock.COUNTER_BITS
    assert local.merge(near) > near
