"""Guards against backend servers that serve unverified or mixed weights."""

import pytest

from carobstand import errors
from carobstand.core import activation


class FakeBackend:
    """In-memory backend server that can load up to `max_loaded` versions.

    With `ignores_fencing` it accepts commands with any fencing token.
    """

    def __init__(self, ignores_fencing=False):
        self.serving, self.loaded, self.fence, self.log = {}, {}, 0, []
        self.ignores_fencing = ignores_fencing
        self.max_loaded = 100

    def run(self, effect):
        if isinstance(effect, activation.QueryState):
            fence = 0 if self.ignores_fencing else self.fence
            return activation.Reported(self.serving, self.loaded, fence)
        if effect.fence < self.fence and not self.ignores_fencing:
            return activation.Failed(fenced=True)
        self.fence = effect.fence
        self.log.append(effect)
        if isinstance(effect, activation.Load):
            if len(self.loaded) >= self.max_loaded:
                return activation.Failed()
            self.loaded[effect.version] = effect.manifest
        elif isinstance(effect, activation.Activate):
            self.serving = {key: self.loaded[key] for key in effect.versions}
        else:
            del self.loaded[effect.version]
        return activation.Succeeded()


def target(fence, manifests, serve=None, bases=()):
    return activation.Target(
        fence, manifests, frozenset(serve or manifests), dict(bases)
    )


def drive(state, backend, event, verified, now=0.0):
    effects = activation.step(state, event, verified.__contains__, now)
    while effects:
        result = backend.run(effects[0])
        effects = activation.step(state, result, verified.__contains__, now)


def test_a_version_is_loaded_only_after_all_its_chunks_are_verified():
    state, backend = activation.Activation(), FakeBackend()
    desired = activation.TargetChanged(target(1, {"v1": "m1"}))
    drive(state, backend, desired, set())
    assert backend.loaded == {}
    drive(state, backend, activation.Wakeup(), {"m1"})
    assert backend.serving == {"v1": "m1"}


def test_the_old_version_serves_until_the_new_one_is_loaded_and_is_dropped_later():
    """Streams that started on the old version can resume there for `RETIRE_DELAY_S`."""
    state, backend = activation.Activation(), FakeBackend()
    drive(state, backend, activation.TargetChanged(target(1, {"v1": "m1"})), {"m1"})
    drive(state, backend, activation.TargetChanged(target(2, {"v2": "m2"})), {"m1"})
    assert backend.serving == {"v1": "m1"}
    drive(state, backend, activation.Wakeup(), {"m1", "m2"})
    assert backend.serving == {"v1": "m1", "v2": "m2"}
    now = activation.RETIRE_DELAY_S - 0.1
    drive(state, backend, activation.Wakeup(), {"m1", "m2"}, now)
    assert backend.serving == {"v1": "m1", "v2": "m2"}
    drive(state, backend, activation.Wakeup(), {"m1", "m2"}, now + 0.2)
    assert backend.serving == backend.loaded == {"v2": "m2"}
    assert [type(effect).__name__ for effect in backend.log[2:]] == [
        "Load",
        "Activate",
        "Activate",
        "Unload",
    ]


def test_a_replaced_version_is_unloaded_early_if_the_next_one_does_not_fit():
    state, backend = activation.Activation(), FakeBackend()
    verified = {"m1", "m2", "m3"}
    for fence in (1, 2):
        desired = target(fence, {f"v{fence}": f"m{fence}"})
        drive(state, backend, activation.TargetChanged(desired), verified)
    backend.max_loaded = 2
    desired = activation.TargetChanged(target(3, {"v3": "m3"}))
    drive(state, backend, desired, verified, 1.0)
    assert set(backend.serving) == {"v1", "v2"}
    drive(state, backend, activation.Wakeup(), verified, 2.0)
    assert backend.serving == {"v2": "m2", "v3": "m3"}


def test_an_adapter_is_loaded_after_its_base_which_need_not_be_served():
    state, backend = activation.Activation(), FakeBackend()
    desired = target(1, {"a": "ma", "b": "mb"}, ["a"], {"a": "b"})
    drive(state, backend, activation.TargetChanged(desired), {"ma"})
    assert backend.loaded == {}
    drive(state, backend, activation.Wakeup(), {"ma", "mb"})
    assert [getattr(effect, "version", "") for effect in backend.log] == ["b", "a", ""]
    assert backend.serving == {"a": "ma"}
    assert backend.loaded == {"a": "ma", "b": "mb"}


def test_the_base_of_an_adapter_stays_loaded_while_the_adapter_retires():
    state, backend = activation.Activation(), FakeBackend()
    verified = {"ma", "mb", "mc"}
    desired = target(1, {"a": "ma", "b": "mb"}, ["a"], {"a": "b"})
    drive(state, backend, activation.TargetChanged(desired), verified)
    later = activation.TargetChanged(target(2, {"c": "mc"}))
    drive(state, backend, later, verified, 1.0)
    assert backend.loaded == {"a": "ma", "b": "mb", "c": "mc"}
    drive(state, backend, activation.Wakeup(), verified, 12.0)
    assert backend.loaded == backend.serving == {"c": "mc"}


def test_an_agent_with_an_older_plan_sends_nothing_to_an_engine_without_fencing():
    backend = FakeBackend(ignores_fencing=True)
    state = activation.Activation()
    drive(state, backend, activation.TargetChanged(target(5, {"v1": "m1"})), {"m1"})
    before = list(backend.log)
    stale = activation.TargetChanged(target(4, {"v2": "m2"}))
    drive(state, backend, stale, {"m1", "m2"})
    assert backend.log == before


def test_a_restarted_agent_queries_the_state_first_and_keeps_served_versions():
    backend = FakeBackend()
    drive(
        activation.Activation(),
        backend,
        activation.TargetChanged(target(3, {"v1": "m1"})),
        {"m1"},
    )
    before = list(backend.log)
    state = activation.Activation()
    effects = activation.step(
        state,
        activation.TargetChanged(target(3, {"v1": "m1"})),
        lambda digest: False,
        0.0,
    )
    assert effects == (activation.QueryState(),)
    drive(state, backend, backend.run(effects[0]), set())
    assert backend.log == before and backend.serving == {"v1": "m1"}


def test_a_restarted_backend_server_is_loaded_again():
    state, backend = activation.Activation(), FakeBackend()
    desired = activation.TargetChanged(target(1, {"v1": "m1"}))
    drive(state, backend, desired, {"m1"})
    backend.serving, backend.loaded = {}, {}
    drive(state, backend, activation.ReportOutdated(), {"m1"})
    assert backend.serving == {"v1": "m1"}


def test_a_failed_command_is_followed_by_a_state_query_after_a_delay():
    state, backend = activation.Activation(), FakeBackend()
    desired = activation.TargetChanged(target(1, {"v1": "m1"}))
    activation.step(state, desired, {"m1"}.__contains__, 0.0)
    failed = activation.Failed()
    assert activation.step(state, failed, {"m1"}.__contains__, 0.0) == ()
    retry = activation.step(state, activation.Wakeup(), {"m1"}.__contains__, 1.0)
    assert retry == (activation.QueryState(),)
    drive(state, backend, backend.run(retry[0]), {"m1"}, 1.0)
    assert backend.serving == {"v1": "m1"}


def test_a_served_name_with_another_manifest_is_reported_and_not_replaced():
    state, backend = activation.Activation(), FakeBackend()
    drive(state, backend, activation.TargetChanged(target(1, {"v1": "m1"})), {"m1"})
    changed = activation.TargetChanged(target(2, {"v1": "m2"}))
    drive(state, backend, changed, {"m1", "m2"})
    assert backend.serving == {"v1": "m1"}
    assert activation.name_conflicts(state) == ("v1",)


def test_an_unload_of_a_served_version_is_an_invariant_error():
    state = activation.Activation(serving={"v1": "m1"}, loaded={"v1": "m1"})
    state.target = target(1, {"v1": "m1"})
    with pytest.raises(errors.InvariantError):
        activation._check(state, activation.Unload("v1", 1), lambda digest: True)
