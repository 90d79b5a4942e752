"""State shared by the loops of an agent."""

import attrs

from carobstand import signals


@attrs.define(eq=False)
class AgentState:
    """State of one agent process.

    Attributes
    ----------
    cfg : settings.AgentSettings
    start_id : str
        Random, new at each process start.
    vm_list : platform.vms.VmList
    vms : tuple of platform.vms.Vm
        Last VM list read, used to find entries; written by `agent.peers`.
    origin : platform.origin.Origin
    engine : platform.engine.Engine or None
        None if the backend server is a plain service.
    table : core.table.Table or None
        Current table; written by `agent.control`.
    assignments : dict of str to ttypes.Assignment
        Current assignment by service; written by `agent.control`.
    rosters : dict of str to ttypes.Roster
        Members per manifest digest; written by `agent.control`.
    replicas : dict of (service, version) to ttypes.Replica
        Progress of each version; `agent.weights` writes fetching, verified and
        refused, `agent.activation` writes loading and serving.
    chunks : core.chunks.ChunkCache or None
        Verified chunks; written by `agent.weights`.
    manifests : dict of str to core.manifest.Manifest
        Manifests held, by digest; written by `agent.weights`.
    entries : dict of str to wire.connection.Connection
        Open connections to entries, by VM; written by `agent.peers`.
    load : ttypes.Load or None
    cached_prefixes : list of str
        Prefix hashes to report in the next heartbeat.
    running_attempts : int
        Attempts in progress; written by `agent.executor`.
    attempt_floors : dict of str to int
        Lowest open attempt id per entry start id; written by `agent.control`.
    backend_up : bool
    leaving : bool
    changed : signals.Signal
        Notified at each change of the above.
    """

    cfg: object
    start_id: str
    vm_list: object = None
    vms: tuple = ()
    origin: object = None
    engine: object = None
    table: object = None
    assignments: dict = attrs.field(factory=dict)
    rosters: dict = attrs.field(factory=dict)
    replicas: dict = attrs.field(factory=dict)
    chunks: object = None
    manifests: dict = attrs.field(factory=dict)
    entries: dict = attrs.field(factory=dict)
    load: object = None
    cached_prefixes: list = attrs.field(factory=list)
    running_attempts: int = 0
    attempt_floors: dict = attrs.field(factory=dict)
    backend_up: bool = True
    leaving: bool = False
    changed: signals.Signal = attrs.field(factory=signals.Signal)
    dial_peer: object = None
    """Async callable of an address; returns an open connection to another agent."""
    metrics: object = None
