"""State of an entry, shared by its parts."""

import attrs

from carobstand import signals


@attrs.define(eq=False)
class AgentPeer:
    """An agent connected to this entry.

    `heartbeat` is None until one was received. `last_seen_at` is the time of the last
    message, on the loop's clock, in seconds.
    """

    conn: object
    hello: object
    heartbeat: object = None
    last_seen_at: float = 0.0
    leaving: bool = False


@attrs.define(eq=False)
class EntryPeer:
    """Another entry connected to this one."""

    conn: object
    hello: object
    peer_state: object = None
    last_seen_at: float = 0.0


@attrs.define(eq=False)
class EntryState:
    """State of one entry process.

    Attributes
    ----------
    cfg : settings.EntrySettings
    start_id : str
        Random, new at each process start.
    store : platform.store.Store
    vm_list : platform.vms.VmList
    table : core.table.Table or None
        Table in force; written by `entry.control`.
    plans : dict of str to core.planner.Plan
        Plan in force per service; written by `entry.control`.
    vms : tuple of platform.vms.Vm
        Last VM list read; written by `entry.control`.
    agents : dict of str to AgentPeer
        By VM; written by `entry.peers`.
    entries : dict of str to EntryPeer
        By VM; written by `entry.peers`.
    attempt_floor : int
        Lowest open attempt id; written by `entry.dispatch`.
    demands : list of ttypes.Demand
        Demand seen by this entry, for other entries; written by `entry.dispatch`.
    suspects : core.suspects state, shared with other entries
    store_up : bool
        Whether the last store call succeeded; written by `entry.control`.
    leaving : bool
    dispatcher : entry.dispatch.Dispatcher or None
        State of request processing; made by `entry.dispatch`.
    changed : signals.Signal
        Notified at each change of the above.
    describe_control : callable without arguments
        Returns a JSON-compatible dict for the status port; set by `entry.control`.
    agent_joined, agent_lost : list of callables of (vm, AgentPeer)
        Called when a connection of an agent starts or ends.
    """

    cfg: object
    start_id: str
    store: object = None
    vm_list: object = None
    table: object = None
    plans: dict = attrs.field(factory=dict)
    vms: tuple = ()
    agents: dict = attrs.field(factory=dict)
    entries: dict = attrs.field(factory=dict)
    attempt_floor: int = 1
    demands: list = attrs.field(factory=list)
    suspects: object = None
    store_up: bool = False
    leaving: bool = False
    changed: signals.Signal = attrs.field(factory=signals.Signal)
    agent_joined: list = attrs.field(factory=list)
    agent_lost: list = attrs.field(factory=list)
    metrics: object = None
    describe_control: object = dict
    dispatcher: object = None
