"""State machine that loads, activates and unloads versions on a backend server."""

import attrs

from carobstand import errors


@attrs.frozen
class Target:
    """State that the plan requires of the backend server.

    Attributes
    ----------
    fence : int
        Plan revision; the fencing token of every command.
    manifests : dict of str to str
        Version to manifest digest: the versions to serve and the bases of adapters.
    serve : frozenset of str
        Versions to serve.
    bases : dict of str to str
        Adapter version to its base version.
    """

    fence: int
    manifests: dict
    serve: frozenset
    bases: dict = attrs.field(factory=dict)


@attrs.define
class Activation:
    """Current and required state of one backend server.

    Attributes
    ----------
    target : Target or None
    serving, loaded : dict of str to str, or None
        Version to manifest digest as last reported; None before the first report and
        after a command whose effect is unknown.
    fence : int
        Highest fencing token sent or reported. No command carries a lower one, even
        if the backend server ignores the token.
    pending : object
        Command in progress, or None.
    failures : int
        Failed commands since the last success.
    retry_at : float
        No command is sent before this time.
    retire_at : dict of str to float
        Served versions that the target no longer lists, to the time at which they are
        taken out of service.
    bases : dict of str to str
        Adapter version to its base version, collected from all targets so far.
    """

    target: Target | None = None
    serving: dict | None = None
    loaded: dict | None = None
    fence: int = 0
    pending: object = None
    failures: int = 0
    retry_at: float = 0.0
    retire_at: dict = attrs.field(factory=dict)
    bases: dict = attrs.field(factory=dict)


@attrs.frozen
class TargetChanged:
    """Event: the plan or the table requires another state."""

    target: Target


@attrs.frozen
class Reported:
    """Event: the backend server reported its served and loaded versions."""

    serving: dict
    loaded: dict
    fence: int


@attrs.frozen
class Succeeded:
    """Event: the command in progress succeeded."""


@attrs.frozen
class Failed:
    """Event: the command in progress failed or its effect is unknown.

    `fenced`: the backend server rejected the command for its outdated fencing token.
    """

    fenced: bool = False


@attrs.frozen
class ReportOutdated:
    """Event: the last report is outdated; the backend server may have restarted."""


@attrs.frozen
class Wakeup:
    """Event: chunks were verified, or time has passed."""


@attrs.frozen
class QueryState:
    """Effect: request a report of the served and loaded versions."""


@attrs.frozen
class Load:
    """Effect: load a version alongside the served ones."""

    version: str
    manifest: str
    base: str
    fence: int


@attrs.frozen
class Activate:
    """Effect: switch atomically to serving exactly these versions."""

    versions: tuple
    fence: int


@attrs.frozen
class Unload:
    """Effect: unload a version that is not served."""

    version: str
    fence: int


INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0

RETIRE_DELAY_S = 10.0
"""Time for which a version stays in service after its successor is ready, so that
streams that began on it can be resumed on it on another backend server."""


def step(state, event, is_verified, now):
    """Return the next command for the backend server.

    Parameters
    ----------
    state : Activation
    event : TargetChanged, Reported, Succeeded, Failed, ReportOutdated or Wakeup
    is_verified : callable of (manifest digest,)
        Whether every chunk of the manifest is verified.
    now : float

    Returns
    -------
    effects : tuple
        At most one of QueryState, Load, Activate and Unload; none while a command is in
        progress.

    Raises
    ------
    InvariantError
        If the next command would serve a version that is not verified.
    """
    _apply(state, event, now)
    if state.pending is not None or now < state.retry_at:
        return ()
    effect = _next_command(state, is_verified, now)
    if effect is None:
        return ()
    _check(state, effect, is_verified)
    state.pending = effect
    return (effect,)


def _apply(state, event, now):
    if isinstance(event, TargetChanged):
        if state.target is None or event.target.fence >= state.target.fence:
            if event.target != state.target:
                state.target = event.target
                state.bases.update(event.target.bases)
                state.retry_at = 0.0
        return
    if isinstance(event, Wakeup):
        return
    if isinstance(event, ReportOutdated):
        if state.pending is None:
            state.serving = state.loaded = None
        return
    command, state.pending = state.pending, None
    if isinstance(event, Reported):
        state.serving = dict(event.serving)
        state.loaded = dict(event.loaded)
        state.fence = max(state.fence, event.fence)
    elif isinstance(event, Succeeded):
        state.failures = 0
        _record_success(state, command)
    elif isinstance(event, Failed):
        state.serving = state.loaded = None
        if isinstance(command, Load):
            # Memory may not suffice beside the retiring versions: retire them now.
            state.retire_at = dict.fromkeys(state.retire_at, now)
        delay = min(
            MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2 ** min(state.failures, 10)
        )
        state.failures += 1
        state.retry_at = now + delay


def _record_success(state, command):
    """Apply the effect of a command; an activation requires a new report."""
    state.fence = max(state.fence, command.fence)
    if isinstance(command, Load):
        state.loaded[command.version] = command.manifest
    elif isinstance(command, Unload):
        state.loaded.pop(command.version, None)
    else:
        state.serving = state.loaded = None


def _next_command(state, is_verified, now):
    if state.serving is None:
        return QueryState()
    target = state.target
    if target is None or target.fence < state.fence:
        return None
    loadable = _loadable(target, state.loaded, is_verified)
    to_serve = _versions_to_serve(state, loadable, now)
    still_served = set(state.serving) & to_serve
    if still_served and still_served != set(state.serving):
        return Activate(tuple(sorted(still_served)), target.fence)
    unload = _unload_unused(state, target)
    if unload is not None:
        return unload
    conflicting = name_conflicts(state)
    for version, digest in loadable.items():
        if version not in state.loaded:
            return Load(version, digest, target.bases.get(version, ""), target.fence)
        if state.loaded[version] != digest and version not in conflicting:
            return Unload(version, target.fence)
    if to_serve and to_serve != set(state.serving):
        return Activate(tuple(sorted(to_serve)), target.fence)
    return None


def name_conflicts(state):
    """Return the served versions whose name the target gives to another manifest.

    Such a version is not replaced: the backend server would have to stop serving the
    name in between. The operator must add a version with a new name instead.
    """
    if state.target is None or state.serving is None:
        return ()
    target_manifests = state.target.manifests
    return tuple(
        version
        for version, digest in state.serving.items()
        if target_manifests.get(version, digest) != digest
    )


def _loadable(target, loaded, is_verified):
    """Return the target's versions that are loaded or may be, bases before adapters."""
    loadable = {}
    for version in sorted(target.manifests, key=lambda key: (key in target.bases, key)):
        digest = target.manifests[version]
        base = target.bases.get(version, "")
        if base and base not in loadable:
            continue
        if loaded.get(version) == digest or is_verified(digest):
            loadable[version] = digest
    return loadable


def _versions_to_serve(state, loadable, now):
    """Return the versions to serve now.

    Versions that the target no longer lists stay in service until `RETIRE_DELAY_S`
    after all listed ones are loaded, so that the VM never serves fewer versions.
    """
    target = state.target
    to_serve = {
        key for key in target.serve if state.loaded.get(key) == loadable.get(key, 0)
    }
    former = set(state.serving) - target.serve
    for version in set(state.retire_at) - former:
        del state.retire_at[version]
    if to_serve == target.serve:
        for version in former:
            state.retire_at.setdefault(version, now + RETIRE_DELAY_S)
    return (
        to_serve
        | (former - _due_to_retire(state, now))
        | (target.serve & set(state.serving))
    )


def _due_to_retire(state, now):
    return {version for version, until in state.retire_at.items() if until <= now}


def _unload_unused(state, target):
    """Return the command to unload a version that is not needed, or None."""
    in_use = set(state.serving) | {state.bases.get(key) for key in state.serving}
    unused = set(state.loaded) - set(target.manifests) - in_use
    return Unload(min(unused), target.fence) if unused else None


def _check(state, effect, is_verified):
    """Raise InvariantError for a command that violates a safety rule."""
    if isinstance(effect, Load) and not is_verified(effect.manifest):
        _raise_invariant_error(
            f"load of {effect.version} before all chunks are verified"
        )
    if isinstance(effect, Activate):
        for version in effect.versions:
            if version not in state.loaded:
                _raise_invariant_error(f"activation of {version}, which is not loaded")
            served = state.serving.get(version)
            target_manifest = state.target.manifests.get(version)
            if state.loaded[version] not in (target_manifest, served):
                _raise_invariant_error(f"activation of {version} with another manifest")
    if isinstance(effect, Unload) and effect.version in state.serving:
        _raise_invariant_error(f"unload of {effect.version} while it is served")
    if not isinstance(effect, QueryState) and effect.fence < state.fence:
        _raise_invariant_error(f"fencing token {effect.fence} after {state.fence}")


def _raise_invariant_error(reason):
    raise errors.InvariantError(reason, step="activation.step")
