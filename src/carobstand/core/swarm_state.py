"""State, events and effects of the peer-to-peer distribution of weights."""

import enum

import attrs

from carobstand.core import token_bucket


class Policy(enum.Enum):
    """Optimization goal of a service: transfer time or bytes read from the origin."""

    TIME = "time"
    BYTES = "bytes"


class Refusal(enum.Enum):
    """Why a peer or the origin did not deliver a chunk.

    PENDING: the peer does not hold the chunk yet but is fetching it. ABSENT: it neither
    holds nor fetches it. BUSY: it holds the chunk but has no free slot. LOST: the
    connection or the call failed. STALLED: the deadline of the transfer passed.
    """

    PENDING = "pending"
    ABSENT = "absent"
    BUSY = "busy"
    LOST = "lost"
    STALLED = "stalled"


PROBES_PER_S = 8
"""Maximum rate of probes to other VMs, about 1.5 KB/s. While the origin is down, every
chunk that is due causes probes from every VM."""

NEVER_SENT = -1
"""Value of `Job.announced` if no bitmap was sent; the first one requests the peer's."""

REPLY_DUE = -2
"""Value of `Job.announced` if the peer requested the bitmap."""

ORIGIN = ""
"""Value of `Transfer.vm` if the source is the origin."""


@attrs.frozen
class Member:
    """A VM that fetches or holds a manifest."""

    vm: str
    address: str
    failure_domain: str
    region: str
    start_id: str = ""


@attrs.define
class Peer:
    """State of another VM as known from its messages and transfers.

    Attributes
    ----------
    held_bitmaps : dict of str to int
        Manifest digest to bitmap of the chunks that the peer holds.
    queued : int
        Uploads queued at the peer as it last reported.
    outstanding : int
        Requests of this VM in progress at the peer.
    score : float
        1 for a reliable peer, lowered towards 0 by corrupt chunks and failures.
    transfer_s : float or None
        Moving average of the time from request to receipt of a chunk.
    retry_at : float
        No chunk is requested before this time.
    """

    member: Member
    held_bitmaps: dict = attrs.field(factory=dict)
    queued: int = 0
    outstanding: int = 0
    score: float = 1.0
    transfer_s: float | None = None
    failures: int = 0
    retry_at: float = 0.0


@attrs.define
class Job:
    """Transfer of one manifest to this VM.

    Attributes
    ----------
    chunks, sizes : tuple
        Digests and sizes; bit i of a bitmap stands for chunk i.
    started_at : float
        Time at which the first chunk is due for download from the origin.
    held_bitmap, cross_region_bitmap : int
        Bitmaps of the chunks held, and of those that this VM may fetch from another
        region.
    total_bytes, largest_chunk_bytes, held_bytes : int
        Size of all chunks, of the largest one and of the held ones.
    members : dict of str to Member
        All VMs of the roster, including this one.
    hashes, region_hashes : dict of str to int
        `rendezvous.hash_of` of each member, and of each member in this VM's region.
    roster_number : int
        Number of rosters received.
    neighbours : tuple of str
        Peers with which this VM initiates the exchange of bitmaps.
    announced : dict of str to int
        Bitmap last sent to each VM, or NEVER_SENT or REPLY_DUE if one is due; includes
        the VMs that chose this VM as a neighbour.
    reported_peers : set of str
        VMs whose bitmap of this manifest was received.
    joined_late : bool
        Whether this VM joined a rollout that was under way.
    seed_order, seed_interval_s : tuple of int, float
        Order in which chunks are downloaded from the origin, and the time between the
        due times of two chunks.
    cursor : int
        Next position to schedule in `seed_order`; keeps counting in a second pass.
    seed_tasks : list
        Heap of (time, `pushes`, `SeedTask`); `pushes` counts insertions to break ties.
    availability : list of int
        Number of peers known to hold each chunk.
    not_fetching_until : dict of str to float
        VMs that do not fetch the manifest, to the time until which they are not probed.
    """

    digest: str
    chunks: tuple
    sizes: tuple
    policy: Policy
    started_at: float
    index: dict = attrs.field(factory=dict)
    held_bitmap: int = 0
    total_bytes: int = 0
    largest_chunk_bytes: int = 0
    held_bytes: int = 0
    cross_region_bitmap: int = 0
    members: dict = attrs.field(factory=dict)
    hashes: dict = attrs.field(factory=dict)
    region_hashes: dict = attrs.field(factory=dict)
    roster_number: int = 0
    neighbours: tuple = ()
    announced: dict = attrs.field(factory=dict)
    announce_at: float = 0.0
    reported_peers: set = attrs.field(factory=set)
    joined_late: bool = False
    seed_order: tuple = ()
    seed_interval_s: float = 0.0
    cursor: int = 0
    seed_tasks: list = attrs.field(factory=list)
    pushes: int = 0
    availability: list = attrs.field(factory=list)
    not_fetching_until: dict = attrs.field(factory=dict)
    complete: bool = False
    origin_bytes: int = 0


class SeedKind(enum.Enum):
    """Whether a chunk is fetched from the origin or from another region."""

    ORIGIN = "origin"
    CROSS_REGION = "cross_region"


@attrs.define(eq=False)
class SeedTask:
    """A chunk to seed: download from the origin for all, or fetch for this VM's region.

    Attributes
    ----------
    due_at : float
        Time at which the VM of rank 0 starts.
    roster_number : int
        `Job.roster_number` for which the next three were computed.
    rank : int
        Position of this VM in the hash order of the VMs that may carry out the task.
    ranked_ahead : tuple of str
        VMs to probe first: those of lower rank.
    remote_sources : tuple of str
        For CROSS_REGION, the VMs of other regions in the order in which to probe them.
    second_copy : bool
        Whether the chunk is downloaded even if other VMs hold it.
    ruled_out : set of str
        Probed VMs that neither hold nor fetch the chunk, and unreachable ones.
    pending_since : float or None
        Time since which the VM probed last answers that it is still fetching; ``-inf``
        if such an answer rules the VM out at once.
    next_check_at : float
        Time of the next check.
    """

    job: object
    idx: int
    kind: SeedKind
    due_at: float
    roster_number: int = -1
    rank: int = 0
    ranked_ahead: tuple = ()
    remote_sources: tuple = ()
    second_copy: bool = False
    ruled_out: set = attrs.field(factory=set)
    pending_since: float | None = None
    next_check_at: float = 0.0


@attrs.define
class Transfer:
    """A chunk in transfer to this VM; `vm` is ORIGIN or a peer.

    `remote`: it crosses a region link. `probe`: it only checks whether the peer holds
    the chunk. `task`: the `SeedTask` that it belongs to, or None.
    """

    id: int
    digest: str
    size: int
    vm: str
    started_at: float
    deadline: float
    remote: bool = False
    probe: bool = False
    task: object = None


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
    """Token buckets of this VM's link, both directions, and of shared links."""

    up: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(None)
    )
    down: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(None)
    )
    origin: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(None)
    )
    region_up: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(None)
    )
    region_down: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(None)
    )


@attrs.define(eq=False)
class Swarm:
    """State of the swarm at one VM; see `swarm.step`.

    Attributes
    ----------
    jobs : dict of str to Job
        By manifest digest.
    peers : dict of str to Peer
        By VM.
    transfers : dict of int to Transfer
        Downloads and probes in progress, by id.
    inflight : dict of str to set of int
        Chunk digest to the ids of its transfers, without probes.
    upload_queue : list of Upload
        Uploads that wait.
    charged_upload : Upload or None
        Upload whose bytes were taken from the buckets and that is sent once they are
        refilled.
    sending : dict of (object, int) to Upload
        Uploads being sent, by connection and request id.
    times_sent : dict of str to int
        Number of uploads of each chunk.
    recent_requests : dict of (object, int) to float
        Requests received recently, by connection and request id, to detect duplicates.
    transfer_s, remote_transfer_s, origin_transfer_s : float or None
        Moving average of transfer times within the region and across regions; time of
        downloads from the origin.
    idle_since, idle_s : float
        Time of the last step, and time without a transfer although one is possible.
    region_bytes, wasted_bytes : int
        Bytes received across region links, and bytes received in vain.
    corrupted : int
        Number of corrupt chunks received.
    """

    vm: str
    failure_domain: str
    region: str
    cache: object
    rng: object
    upload_slots: int = 4
    has_origin: bool = True
    links: Links = attrs.field(factory=Links)
    probe_bucket: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(PROBES_PER_S, PROBES_PER_S)
    )
    jobs: dict = attrs.field(factory=dict)
    peers: dict = attrs.field(factory=dict)
    transfers: dict = attrs.field(factory=dict)
    inflight: dict = attrs.field(factory=dict)
    next_id: int = 0
    upload_queue: list = attrs.field(factory=list)
    charged_upload: Upload | None = None
    sending: dict = attrs.field(factory=dict)
    times_sent: dict = attrs.field(factory=dict)
    recent_requests: dict = attrs.field(factory=dict)
    transfer_s: float | None = None
    remote_transfer_s: float | None = None
    origin_transfer_s: float | None = None
    origin_failures: int = 0
    origin_retry_at: float = 0.0
    idle_since: float | None = None
    idle_s: float = 0.0
    region_bytes: int = 0
    wasted_bytes: int = 0
    corrupted: int = 0


# Events


@attrs.frozen
class ManifestsChanged:
    """The complete set of manifests to hold: digest to (Manifest, Policy)."""

    manifests: dict


@attrs.frozen
class RosterChanged:
    """The VMs that fetch or hold a manifest changed."""

    manifest: str
    members: tuple


@attrs.frozen
class BitmapReceived:
    """A peer's bitmap of a manifest was received; it has `queued` uploads.

    `asks`: the peer requests the bitmap of this VM in return.
    """

    member: Member
    manifest: str
    bitmap: int
    queued: int = 0
    asks: bool = False


@attrs.frozen
class ChunkReceived:
    """A chunk was received for a transfer; it is not verified yet."""

    transfer: int
    digest: str
    data: bytes


@attrs.frozen
class TransferFailed:
    """A transfer ended without the chunk."""

    transfer: int
    reason: Refusal
    retry_after_s: float = 0.0


@attrs.frozen
class ChunkRequested:
    """A peer requests a chunk, or with `probe` checks whether it is held."""

    vm: str
    region: str
    conn: object
    request_id: int
    digest: str
    probe: bool = False


@attrs.frozen
class UploadEnded:
    """An upload was written to its connection completely, or the connection ended."""

    conn: object
    request_id: int


@attrs.frozen
class PeerLost:
    """The connection to a peer ended or could not be opened.

    `start_id` and `conn` identify the process and the connection, if known: the VM may
    have been replaced since, and the new process may be connected already.
    """

    vm: str
    start_id: str = ""
    conn: object = None


@attrs.frozen
class RatesChanged:
    """Rates of the table's `link` rows in bytes/s, None for no limit."""

    vm: float | None
    origin: float | None
    region: float | None


@attrs.frozen
class LiveTraffic:
    """Bytes of live traffic since the previous event of this type."""

    up: int
    down: int


@attrs.frozen
class Tick:
    """Time has passed."""


# Effects


@attrs.frozen
class Request:
    """Request a chunk from a peer, or with `probe` check whether it holds it."""

    transfer: int
    member: Member
    digest: str
    probe: bool = False


@attrs.frozen
class Download:
    """Download a chunk from the origin."""

    transfer: int
    digest: str


@attrs.frozen
class CancelTransfer:
    """Cancel a transfer."""

    transfer: int


@attrs.frozen
class Announce:
    """Send the bitmap of a manifest to a peer; `asks` requests its bitmap in return."""

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
    """Reject a peer's chunk request."""

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
