"""Activation of versions on one backend server: verified, loading, serving."""

import attrs

from carobstand import errors


@attrs.frozen
class Target:
    """What the plan asks of the backend server.

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
    """Knowledge about one backend server.

    Attributes
    ----------
    target : Target or None
    serving, loaded : dict of str to str, or None
        Version to manifest digest as last reported; None before the first report and
        after a command whose effect is unknown.
    fence : int
        Highest fencing token sent or reported. Commands never carry a lower one, also
        to a backend server that ignores the token.
    pending : object
        Command in progress, or None.
    failures : int
        Failed commands since the last success.
    retry_at : float
        No command is sent before this time.
    lingering : dict of str to float
        Served versions that the target no longer names, to the time until which they
        stay in service.
    bases : dict of str to str
        Adapter version to its base, as in all targets so far.
    """

    target: Target | None = None
    serving: dict | None = None
    loaded: dict | None = None
    fence: int = 0
    pending: object = None
    failures: int = 0
    retry_at: float = 0.0
    lingering: dict = attrs.field(factory=dict)
    bases: dict = attrs.field(factory=dict)


@attrs.frozen
class TargetChanged:
    """Event: the plan or the table asks for something else."""

    target: Target


@attrs.frozen
class Reported:
    """Event: the backend server says what it runs."""

    serving: dict
    loaded: dict
    fence: int


@attrs.frozen
class Succeeded:
    """Event: the command in progress was carried out."""


@attrs.frozen
class Failed:
    """Event: the command in progress failed or its effect is unknown.

    `fenced` says that the backend server refused an old fencing token.
    """

    fenced: bool = False


@attrs.frozen
class Doubted:
    """Event: the backend server may have restarted since its last report."""


@attrs.frozen
class Wakeup:
    """Event: chunks were verified or time has passed."""


@attrs.frozen
class Ask:
    """Effect: ask the backend server what it runs."""


@attrs.frozen
class Load:
    """Effect: load a version beside what is served."""

    version: str
    manifest: str
    base: str
    fence: int


@attrs.frozen
class Activate:
    """Effect: serve exactly these versions from one moment on."""

    versions: tuple
    fence: int


@attrs.frozen
class Unload:
    """Effect: drop a version that is not served."""

    version: str
    fence: int


FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 5.0

LINGER_S = 10.0
"""Time for which a version stays in service after its successor, so that streams that
began on it can be resumed on it elsewhere."""


def step(state, event, is_verified, now):
    """Return the next command for the backend server.

    Parameters
    ----------
    state : Activation
    event : TargetChanged, Reported, Succeeded, Failed, Doubted or Wakeup
    is_verified : callable of (manifest digest,)
        Whether every chunk of the manifest is verified.
    now : float

    Returns
    -------
    effects : tuple
        At most one of Ask, Load, Activate, Unload; nothing while one is in progress.

    Raises
    ------
    InvariantError
        If the state would let a version run that is not verified.
    """
    _apply(state, event, now)
    if state.pending is not None or now < state.retry_at:
        return ()
    effect = _next(state, is_verified, now)
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
    if isinstance(event, Doubted):
        if state.pending is None:
            state.serving = state.loaded = None
        return
    done, state.pending = state.pending, None
    if isinstance(event, Reported):
        state.serving = dict(event.serving)
        state.loaded = dict(event.loaded)
        state.fence = max(state.fence, event.fence)
    elif isinstance(event, Succeeded):
        state.failures = 0
        _record(state, done)
    elif isinstance(event, Failed):
        state.serving = state.loaded = None
        if isinstance(done, Load):
            # There may be no room beside the versions that linger.
            state.lingering = dict.fromkeys(state.lingering, now)
        delay = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(state.failures, 10))
        state.failures += 1
        state.retry_at = now + delay


def _record(state, done):
    """Apply the effect of a command; ask again after a swap of what is served."""
    state.fence = max(state.fence, done.fence)
    if isinstance(done, Load):
        state.loaded[done.version] = done.manifest
    elif isinstance(done, Unload):
        state.loaded.pop(done.version, None)
    else:
        state.serving = state.loaded = None


def _next(state, is_verified, now):
    if state.serving is None:
        return Ask()
    target = state.target
    if target is None or target.fence < state.fence:
        return None
    ready = _ready(target, state.loaded, is_verified)
    wanted = _wanted(state, ready, now)
    rest = set(state.serving) & wanted
    if rest and rest != set(state.serving):
        return Activate(tuple(sorted(rest)), target.fence)
    spare = _spare(state, target)
    if spare is not None:
        return spare
    renamed = name_conflicts(state)
    for version, digest in ready.items():
        if version not in state.loaded:
            return Load(version, digest, target.bases.get(version, ""), target.fence)
        if state.loaded[version] != digest and version not in renamed:
            return Unload(version, target.fence)
    if wanted and wanted != set(state.serving):
        return Activate(tuple(sorted(wanted)), target.fence)
    return None


def name_conflicts(state):
    """Return the served versions whose name the target gives to another manifest.

    Such a version is not replaced: the backend server would have to stop serving the
    name in between. The operator adds a version with a new name instead.
    """
    if state.target is None or state.serving is None:
        return ()
    wanted = state.target.manifests
    return tuple(
        version
        for version, digest in state.serving.items()
        if wanted.get(version, digest) != digest
    )


def _ready(target, loaded, is_verified):
    """Return the versions of the target that are or can be loaded, bases first."""
    ready = {}
    for version in sorted(target.manifests, key=lambda key: (key in target.bases, key)):
        digest = target.manifests[version]
        base = target.bases.get(version, "")
        if base and base not in ready:
            continue
        if loaded.get(version) == digest or is_verified(digest):
            ready[version] = digest
    return ready


def _wanted(state, ready, now):
    """Return the versions to serve now.

    Versions that the target no longer names stay in service until all that it names
    are ready, so that the VM never serves less than before, and `LINGER_S` longer.
    """
    target = state.target
    wanted = {key for key in target.serve if state.loaded.get(key) == ready.get(key, 0)}
    former = set(state.serving) - target.serve
    for version in set(state.lingering) - former:
        del state.lingering[version]
    if wanted == target.serve:
        for version in former:
            state.lingering.setdefault(version, now + LINGER_S)
    return (
        wanted | (former - _expired(state, now)) | (target.serve & set(state.serving))
    )


def _expired(state, now):
    return {version for version, until in state.lingering.items() if until <= now}


def _spare(state, target):
    """Return the command that makes room by unloading a version, or None."""
    in_use = set(state.serving) | {state.bases.get(key) for key in state.serving}
    spare = set(state.loaded) - set(target.manifests) - in_use
    return Unload(min(spare), target.fence) if spare else None


def _check(state, effect, is_verified):
    """Raise InvariantError for a command that would run unverified weights."""
    if isinstance(effect, Load) and not is_verified(effect.manifest):
        _violated(f"load of {effect.version} before all chunks are verified")
    if isinstance(effect, Activate):
        for version in effect.versions:
            if version not in state.loaded:
                _violated(f"activation of {version}, which is not loaded")
            served = state.serving.get(version)
            wanted = state.target.manifests.get(version)
            if state.loaded[version] not in (wanted, served):
                _violated(f"activation of {version} with another manifest")
    if isinstance(effect, Unload) and effect.version in state.serving:
        _violated(f"unload of {effect.version} while it is served")
    if not isinstance(effect, Ask) and effect.fence < state.fence:
        _violated(f"fencing token {effect.fence} after {state.fence}")


def _violated(reason):
    raise errors.InvariantError(reason, step="activation.step")
