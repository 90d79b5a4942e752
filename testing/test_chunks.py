"""Guards against malformed manifests, unverified chunks and exceeded limits."""

import contextlib
import json
import random

import pytest

from carobstand import errors
from carobstand.core import chunks, token_bucket
from carobstand.core import manifest as manifests


def build_manifest(*contents, chunk_bytes=4):
    files = [(f"f{index}", data) for index, data in enumerate(contents)]
    manifest, parts = manifests.build(files, chunk_bytes)
    return manifests.digest_of(manifests.encode(manifest)), manifest, parts


def test_a_manifest_survives_encoding_and_its_files_are_read_back():
    _, manifest, parts = build_manifest(b"abcdefghij", b"", b"abcd")
    decoded = manifests.decode(manifests.encode(manifest))
    assert decoded == manifest
    assert manifests.read_file(decoded, "f0", parts.get) == b"abcdefghij"
    assert manifests.read_file(decoded, "f1", parts.get) == b""
    assert manifests.total_bytes(decoded) == 10


@pytest.mark.parametrize(
    "change",
    [
        {"format": 2},
        {"files": []},
        {"chunk_bytes": 0},
        {"chunk_bytes": 1 << 30},
        {"files": [{"path": "../x", "size": 0, "chunks": []}]},
        {"files": [{"path": "x", "size": 5, "chunks": ["0" * 64]}]},
        {"files": [{"path": "x", "size": 3, "chunks": ["zz"]}]},
        {"files": [{"path": "x", "size": 6, "chunks": ["0" * 64, "0" * 64]}]},
        {"files": [{"path": "x", "size": 0, "chunks": []}] * 2},
        {"files": None},
        {"extra": 1},
    ],
)
def test_a_malformed_manifest_is_refused(change):
    _, manifest, _ = build_manifest(b"abcd")
    body = json.loads(manifests.encode(manifest)) | change
    data = json.dumps(body, sort_keys=True, separators=(",", ":")).encode()
    with pytest.raises(errors.WeightsError):
        manifests.decode(data)


def test_a_chunk_that_fails_verification_is_not_kept():
    cache = chunks.ChunkCache(100)
    with pytest.raises(errors.WeightsError):
        chunks.put(cache, manifests.digest_of(b"abcd"), b"abcx")
    assert cache.data == {} and cache.used_bytes == 0


def test_weights_that_do_not_fit_are_refused_and_the_cached_ones_stay():
    cache = chunks.ChunkCache(10)
    digest, manifest, parts = build_manifest(b"abcdefgh")
    chunks.retain(cache, digest, manifest)
    for key, data in parts.items():
        chunks.put(cache, key, data)
    other_digest, other_manifest, _ = build_manifest(b"ABCDEFGH")
    with pytest.raises(errors.MemoryLimitError):
        chunks.retain(cache, other_digest, other_manifest)
    assert chunks.is_complete(cache, digest) and not chunks.is_complete(
        cache, other_digest
    )


def test_released_chunks_stay_for_a_rollback_until_their_memory_is_needed():
    cache = chunks.ChunkCache(12)
    old, manifest, parts = build_manifest(b"abcdefgh")
    chunks.retain(cache, old, manifest)
    for key, data in parts.items():
        chunks.put(cache, key, data)
    chunks.release(cache, old)
    chunks.retain(cache, old, manifest)
    assert chunks.is_complete(cache, old)
    chunks.release(cache, old)
    new, manifest, parts = build_manifest(b"ABCDEFGHIJKL")
    chunks.retain(cache, new, manifest)
    for key, data in parts.items():
        assert chunks.put(cache, key, data)
    assert chunks.is_complete(cache, new) and cache.used_bytes == 12


def test_a_chunk_shared_by_two_manifests_stays_pinned_until_both_are_released():
    cache = chunks.ChunkCache(8)
    first, first_manifest, parts = build_manifest(b"abcd")
    second, second_manifest, second_parts = build_manifest(b"abcd", b"ABCD")
    chunks.retain(cache, first, first_manifest)
    chunks.retain(cache, second, second_manifest)
    for key, data in (parts | second_parts).items():
        chunks.put(cache, key, data)
    chunks.release(cache, first)
    assert chunks.is_complete(cache, second) and cache.pinned_bytes == 8


def test_weights_never_exceed_the_rate_and_yield_to_live_traffic():
    bucket = token_bucket.TokenBucket(100.0, 50.0)
    sent, now = 0, 0.0
    while now < 10.0:
        if token_bucket.weights_wait_s(bucket, now) == 0:
            token_bucket.take_weights(bucket, 20, now)
            sent += 20
        now += 0.01
    assert 900 <= sent <= 50 + 100 * 10 + 20
    token_bucket.take_live(bucket, 60, now)
    assert token_bucket.weights_wait_s(bucket, now) > 0.3
    with pytest.raises(errors.InvariantError):
        token_bucket.take_weights(bucket, 1, now)


def test_a_clock_that_stands_still_or_steps_back_adds_no_tokens():
    bucket = token_bucket.TokenBucket(100.0, 10.0)
    token_bucket.take_weights(bucket, 30, 5.0)
    assert token_bucket.weights_wait_s(bucket, 4.0) > 0
    assert token_bucket.weights_wait_s(bucket, 5.0) > 0


def test_the_byte_counts_of_the_cache_match_its_content_after_any_sequence():
    """Wrong counts would refuse weights that fit, or exceed the memory limit."""
    rng = random.Random(4)
    cache = chunks.ChunkCache(200)
    manifests_and_parts = [
        build_manifest(*(rng.randbytes(24) for _ in range(3))) for _ in range(4)
    ]
    manifests_and_parts.append(
        build_manifest(b"".join(manifests_and_parts[0][2].values()), chunk_bytes=4)
    )
    for _ in range(2000):
        digest, manifest, parts = rng.choice(manifests_and_parts)
        action = rng.randrange(4)
        if action == 0:
            chunks.release(cache, digest)
        elif action == 1:
            with contextlib.suppress(errors.MemoryLimitError):
                chunks.retain(cache, digest, manifest)
        else:
            chunks.put(cache, *rng.choice(list(parts.items())))
        held = {key: len(data) for key, data in cache.data.items()}
        unpinned = {
            key: size for key, size in held.items() if key not in cache.references
        }
        assert cache.used_bytes == sum(held.values()) <= cache.limit_bytes
        assert cache.unpinned == unpinned and cache.unpinned_bytes == sum(
            unpinned.values()
        )
        assert cache.pinned_bytes <= cache.limit_bytes
