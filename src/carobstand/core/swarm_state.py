"""State, events and effects of the swarm that distributes weights."""

import enum

import attrs

from carobstand.core import limits


class Policy(enum.Enum):
    """What a service's customers weigh more: time or origin bytes."""

    TIME = "time"
    BYTES = "bytes"


class Refusal(enum.Enum):
    """Why a peer or the origin did not deliver a chunk.

    PENDING: the peer has not got the chunk yet but is fetching it. ABSENT: it neither
    has nor fetches it. BUSY: it has the chunk and no free slot. LOST: the connection or
    the call failed.
    """

    PENDING = "pending"
    ABSENT = "absent"
    BUSY = "busy"
    LOST = "lost"
    STALLED = "stalled"


PROBES_PER_S = 8
"""Questions to other VMs per second, about 1.5 KB/s. While the origin is down every
chunk that is due leads to questions at every VM."""

ASK = -1
"""Stands for a bitmap that was never sent; the first one asks for the peer's."""

ANSWER = -2
"""Stands for a bitmap that a peer asked for."""

ORIGIN = ""
"""Stands for the origin where a transfer names its source VM."""


@attrs.frozen
class Member:
    """A VM that wants or holds a manifest."""

    vm: str
    address: str
    failure_domain: str
    region: str
    start_id: str = ""


@attrs.define
class Peer:
    """What is known about another VM.

    Attributes
    ----------
    have : dict of str to int
        Manifest to bitmap of the chunks that it holds.
    queued : int
        Uploads queued at the peer as it last reported.
    outstanding : int
        Requests of this VM in progress there.
    score : float
        1 for a faultless peer, lowered by corrupted chunks and stalls, down to 0.
    seconds : float or None
        Moving average of the time from request to chunk.
    retry_at : float
        Nothing is requested before this time.
    """

    member: Member
    have: dict = attrs.field(factory=dict)
    queued: int = 0
    outstanding: int = 0
    score: float = 1.0
    seconds: float | None = None
    failures: int = 0
    retry_at: float = 0.0


@attrs.define
class Job:
    """Transfer of one manifest to this VM.

    Attributes
    ----------
    chunks, sizes : tuple
        Digests and sizes; bit i of a bitmap stands for chunk i.
    have, entry : int
        Bitmaps of the chunks held, and of those that this VM may fetch from another
        region.
    total_bytes, largest, held_bytes : int
        Size of all chunks, of the largest one, and of those held.
    members : dict of str to Member
        All VMs of the roster, this one included.
    hashes, region_hashes : dict of str to int
        `ranks.hash_of` each member, and each member of the own region.
    roster : int
        Number of rosters received.
    neighbours : tuple of str
        VMs with which bitmaps are exchanged at this VM's initiative.
    announced : dict of str to int
        Bitmap last sent, per VM, or ASK or ANSWER if the next one is due; also holds
        the VMs that chose this one.
    order, due_step_s : tuple of int, float
        Order in which chunks are drawn from the origin, and the time between draws.
    cursor : int
        Position in `order` (counted on through the passes) that is scheduled next.
    duties : list
        Heap of (time, `pushes` at the time, `Duty`).
    counts : list of int
        Number of peers known to hold each chunk.
    absent : dict of str to float
        VMs that do not fetch the manifest, to the time until which they are not asked.
    """

    digest: str
    chunks: tuple
    sizes: tuple
    policy: Policy
    started_at: float
    index: dict = attrs.field(factory=dict)
    have: int = 0
    total_bytes: int = 0
    largest: int = 0
    held_bytes: int = 0
    entry: int = 0
    members: dict = attrs.field(factory=dict)
    hashes: dict = attrs.field(factory=dict)
    region_hashes: dict = attrs.field(factory=dict)
    roster: int = 0
    neighbours: tuple = ()
    announced: dict = attrs.field(factory=dict)
    announce_at: float = 0.0
    heard: set = attrs.field(factory=set)
    joined_late: bool = False
    order: tuple = ()
    due_step_s: float = 0.0
    cursor: int = 0
    duties: list = attrs.field(factory=list)
    pushes: int = 0
    counts: list = attrs.field(factory=list)
    absent: dict = attrs.field(factory=dict)
    complete: bool = False
    origin_bytes: int = 0


class DutyKind(enum.Enum):
    """Whether a duty is a download from the origin or across a region link."""

    ORIGIN = "origin"
    ENTRY = "entry"


@attrs.define(eq=False)
class Duty:
    """A chunk that this VM must bring to all (origin) or into its region (entry).

    Attributes
    ----------
    base : float
        Time at which the VM of rank 0 acts.
    roster : int
        `Job.roster` for which the next three were computed.
    before : tuple of str
        VMs to ask first: those of lower rank.
    sources : tuple of str
        For an entry, the VMs of other regions in the order in which they are asked.
    extra : bool
        Whether the chunk is downloaded although other VMs hold it.
    asked : set of str
        VMs of lower rank that do not have the chunk and do not fetch it.
    deferred_since : float or None
        Since when the VM asked last has answered that it is still fetching.
    at : float
        Time at which it is looked at next.
    """

    job: object
    idx: int
    kind: DutyKind
    base: float
    roster: int = -1
    rank: int = 0
    before: tuple = ()
    sources: tuple = ()
    extra: bool = False
    asked: set = attrs.field(factory=set)
    deferred_since: float | None = None
    at: float = 0.0


@attrs.define
class Transfer:
    """A chunk on its way to this VM; `vm` is ORIGIN or a peer.

    `remote`: it crosses a region link. `probe`: only the question whether the peer has
    it. `duty`: the `Duty` that it serves, or None.
    """

    id: int
    digest: str
    size: int
    vm: str
    started_at: float
    deadline: float
    remote: bool = False
    probe: bool = False
    duty: object = None


@attrs.define
class Upload:
    """A chunk requested by the peer `vm` over the connection `conn`."""

    vm: str
    conn: object
    request_id: int
    digest: str
    size: int
    remote: bool


@attrs.define
class Links:
    """Buckets of the links of this VM, both directions, and of shared links."""

    up: limits.Bucket = attrs.field(factory=lambda: limits.Bucket(None))
    down: limits.Bucket = attrs.field(factory=lambda: limits.Bucket(None))
    origin: limits.Bucket = attrs.field(factory=lambda: limits.Bucket(None))
    region_up: limits.Bucket = attrs.field(factory=lambda: limits.Bucket(None))
    region_down: limits.Bucket = attrs.field(factory=lambda: limits.Bucket(None))


@attrs.define(eq=False)
class Swarm:
    """State of the swarm at one VM; see `swarm.step`."""

    vm: str
    failure_domain: str
    region: str
    cache: object
    rng: object
    upload_slots: int = 4
    has_origin: bool = True
    links: Links = attrs.field(factory=Links)
    probes: limits.Bucket = attrs.field(
        factory=lambda: limits.Bucket(PROBES_PER_S, PROBES_PER_S)
    )
    jobs: dict = attrs.field(factory=dict)
    peers: dict = attrs.field(factory=dict)
    transfers: dict = attrs.field(factory=dict)
    inflight: dict = attrs.field(factory=dict)
    next_id: int = 0
    queue: list = attrs.field(factory=list)
    paying: Upload | None = None
    sending: dict = attrs.field(factory=dict)
    times_sent: dict = attrs.field(factory=dict)
    recent: dict = attrs.field(factory=dict)
    seconds: float | None = None
    remote_seconds: float | None = None
    origin_seconds: float | None = None
    origin_failures: int = 0
    origin_retry_at: float = 0.0
    idle_since: float | None = None
    idle_s: float = 0.0
    region_bytes: int = 0
    wasted_bytes: int = 0
    corrupted: int = 0


# Events


@attrs.frozen
class Wanted:
    """The manifests to hold, all of them: digest to (Manifest, Policy)."""

    manifests: dict


@attrs.frozen
class RosterChanged:
    """Members that want or hold a manifest."""

    manifest: str
    members: tuple


@attrs.frozen
class Heard:
    """A peer's bitmap of a manifest; `queued` uploads wait there.

    `asks`: the peer wants the bitmap of this VM in return.
    """

    member: Member
    manifest: str
    bitmap: int
    queued: int = 0
    asks: bool = False


@attrs.frozen
class Arrived:
    """Bytes received for a transfer, not verified yet."""

    transfer: int
    digest: str
    data: bytes


@attrs.frozen
class Refused:
    """A transfer ended without the chunk."""

    transfer: int
    reason: Refusal
    retry_after_s: float = 0.0


@attrs.frozen
class Asked:
    """A peer requests a chunk, or with `probe` asks whether it is held."""

    vm: str
    region: str
    conn: object
    request_id: int
    digest: str
    probe: bool = False


@attrs.frozen
class Sent:
    """An upload was handed to its connection completely, or the connection ended."""

    conn: object
    request_id: int


@attrs.frozen
class PeerLost:
    """The connection to a peer ended or could not be opened.

    `start_id` and `conn` tell which process and connection it was, as far as known: the
    VM may have been replaced since, and the new process may have connected already.
    """

    vm: str
    start_id: str = ""
    conn: object = None


@attrs.frozen
class RatesChanged:
    """The table's `link` rows in bytes/s, None where there is no limit."""

    vm: float | None
    origin: float | None
    region: float | None


@attrs.frozen
class LiveTraffic:
    """Bytes of live traffic since the last such event."""

    up: int
    down: int


@attrs.frozen
class Tick:
    """Time has passed."""


# Effects


@attrs.frozen
class Request:
    """Request a chunk from a peer, or with `probe` ask whether it has it."""

    transfer: int
    member: Member
    digest: str
    probe: bool = False


@attrs.frozen
class Draw:
    """Download a chunk from the origin."""

    transfer: int
    digest: str


@attrs.frozen
class Drop:
    """Stop waiting for a transfer."""

    transfer: int


@attrs.frozen
class Announce:
    """Send the bitmap of a manifest to a peer; `asks` for its bitmap in return."""

    member: Member
    manifest: str
    bitmap: int
    queued: int
    asks: bool = False


@attrs.frozen
class Send:
    """Send a verified chunk to a peer that requested it."""

    conn: object
    request_id: int
    digest: str


@attrs.frozen
class Refuse:
    """Answer a peer's request without the chunk."""

    conn: object
    request_id: int
    digest: str
    reason: Refusal
    retry_after_s: float


@attrs.frozen
class MemoryRefused:
    """A manifest does not fit into the memory for chunks."""

    manifest: str
    reason: str


@attrs.frozen
class Completed:
    """Every chunk of a manifest is verified."""

    manifest: str
