"""Cache of verified chunks, shared by all manifests of a VM."""

import attrs

from carobstand import errors
from carobstand.core import manifest as manifests


@attrs.define
class ChunkCache:
    """Verified chunks by digest.

    A chunk is pinned while a retained manifest refers to it. Unpinned chunks are kept
    until their memory is needed, so that a rollback can reuse them; the least recently
    released one is evicted first.

    Attributes
    ----------
    limit_bytes : int
        Memory for chunks. The pinned chunks, held or missing, never exceed it.
    data : dict of str to bytes
    retained : dict of str to dict
        Manifest digest to its chunk sizes by digest.
    references : dict of str to int
        Number of retained manifests that refer to a chunk.
    pinned_bytes : int
        Size of the pinned chunks, held or missing.
    unpinned : dict of str to int
        Sizes of the unpinned chunks by digest, in order of eviction.
    """

    limit_bytes: int
    data: dict = attrs.field(factory=dict)
    used_bytes: int = 0
    retained: dict = attrs.field(factory=dict)
    references: dict = attrs.field(factory=dict)
    pinned_bytes: int = 0
    unpinned: dict = attrs.field(factory=dict)
    unpinned_bytes: int = 0


def retain(cache, digest, manifest):
    """Pin the chunks of a manifest; do nothing if it is retained already.

    Parameters
    ----------
    cache : ChunkCache
    digest : str
        SHA-256 of the manifest.
    manifest : core.manifest.Manifest

    Raises
    ------
    MemoryLimitError
        If the pinned chunks would exceed the limit. The cache is unchanged then.
    """
    if digest in cache.retained:
        return
    sizes = manifests.chunk_sizes(manifest)
    added = sum(size for key, size in sizes.items() if key not in cache.references)
    if cache.pinned_bytes + added > cache.limit_bytes:
        raise errors.MemoryLimitError(
            f"weights need {added} more bytes, {cache.pinned_bytes} of "
            f"{cache.limit_bytes} are in use",
            step="chunks.retain",
        )
    cache.retained[digest] = sizes
    cache.pinned_bytes += added
    for key in sizes:
        cache.references[key] = cache.references.get(key, 0) + 1
        cache.unpinned_bytes -= cache.unpinned.pop(key, 0)


def release(cache, digest):
    """Unpin the chunks of a manifest; they are kept until their memory is needed."""
    for key, size in cache.retained.pop(digest, {}).items():
        cache.references[key] -= 1
        if cache.references[key]:
            continue
        del cache.references[key]
        cache.pinned_bytes -= size
        if key in cache.data:
            _add_unpinned(cache, key, size)


def put(cache, digest, data):
    """Verify a chunk and store it.

    Returns
    -------
    kept : bool
        False if no retained manifest needs the chunk and it does not fit.

    Raises
    ------
    WeightsError
        If `data` does not have the SHA-256 `digest`.
    """
    if manifests.digest_of(data) != digest:
        raise errors.WeightsError(
            f"chunk {digest[:12]} failed verification", step="chunks.put"
        )
    if digest in cache.data:
        return True
    if digest not in cache.references and not _fits_unpinned(cache, len(data)):
        return False
    _evict(cache, len(data))
    cache.data[digest] = bytes(data)
    cache.used_bytes += len(data)
    if digest not in cache.references:
        _add_unpinned(cache, digest, len(data))
    if cache.used_bytes > cache.limit_bytes:
        raise errors.InvariantError(
            f"{cache.used_bytes} bytes of chunks exceed {cache.limit_bytes}",
            step="chunks.put",
        )
    return True


def get(cache, digest):
    """Return a verified chunk, or None."""
    return cache.data.get(digest)


def missing(cache, digests):
    """Return those of `digests` that are not held, in order."""
    return [digest for digest in digests if digest not in cache.data]


def is_complete(cache, digest):
    """Return whether every chunk of a retained manifest is held."""
    sizes = cache.retained.get(digest)
    return sizes is not None and all(key in cache.data for key in sizes)


def bytes_held(cache, digest):
    """Return the size in bytes of the held chunks of a retained manifest."""
    sizes = cache.retained.get(digest, {})
    return sum(size for key, size in sizes.items() if key in cache.data)


def _add_unpinned(cache, digest, size):
    cache.unpinned[digest] = size
    cache.unpinned_bytes += size


def _fits_unpinned(cache, size):
    """Return whether a chunk fits beside the unpinned and all pinned (also missing)."""
    return cache.pinned_bytes + cache.unpinned_bytes + size <= cache.limit_bytes


def _evict(cache, size):
    """Evict unpinned chunks, first released first, until `size` more bytes fit."""
    while cache.unpinned and cache.used_bytes + size > cache.limit_bytes:
        digest = next(iter(cache.unpinned))
        cache.unpinned_bytes -= cache.unpinned.pop(digest)
        cache.used_bytes -= len(cache.data.pop(digest))
