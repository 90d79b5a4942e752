"""Manifests: the files of a version of weights, each an ordered list of chunks."""

import hashlib
import json
import re

import attrs

from carobstand import errors

FORMAT = 1
"""Format number of an encoded manifest; others are rejected."""

MAX_CHUNK_BYTES = 1536 * 1024
"""Maximum chunk size; a chunk and its envelope must fit into one 2 MiB frame."""

DEFAULT_CHUNK_BYTES = 1024 * 1024
"""Chunk size used when weights are published."""

_DIGEST = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class File:
    """A file of `size` bytes; `chunks` are their SHA-256 digests in hex, in order."""

    path: str
    size: int
    chunks: tuple


@attrs.frozen
class Manifest:
    """Files of one version, cut into chunks of `chunk_bytes` (the last one shorter)."""

    files: tuple
    chunk_bytes: int


def digest_of(data):
    """Return the SHA-256 of `data` in hex."""
    return hashlib.sha256(data).hexdigest()


def is_digest(text):
    """Return whether `text` is a SHA-256 in lower-case hex."""
    return isinstance(text, str) and _DIGEST.fullmatch(text) is not None


def build(files, chunk_bytes=DEFAULT_CHUNK_BYTES):
    """Split files into chunks.

    Parameters
    ----------
    files : iterable of (str, bytes)
        Relative path and content.
    chunk_bytes : int

    Returns
    -------
    manifest : Manifest
    chunks : dict of str to bytes
        Chunks by digest; identical chunks are stored once.

    Raises
    ------
    WeightsError
        If there is no file, a path is invalid or `chunk_bytes` is out of range.
    """
    chunks = {}
    entries = []
    for path, data in files:
        digests = []
        for start in range(0, len(data), max(1, chunk_bytes)):
            part = bytes(data[start : start + chunk_bytes])
            digest = digest_of(part)
            chunks[digest] = part
            digests.append(digest)
        entries.append(File(path, len(data), tuple(digests)))
    manifest = Manifest(tuple(entries), chunk_bytes)
    _check(manifest)
    return manifest, chunks


def encode(manifest):
    """Return `manifest` as canonical JSON; its SHA-256 is the version's identity."""
    body = {
        "format": FORMAT,
        "chunk_bytes": manifest.chunk_bytes,
        "files": [
            {"path": file.path, "size": file.size, "chunks": list(file.chunks)}
            for file in manifest.files
        ],
    }
    return json.dumps(body, sort_keys=True, separators=(",", ":")).encode()


def decode(data):
    """Return the manifest encoded in `data`.

    Raises
    ------
    WeightsError
        If `data` is not a well-formed manifest of a known format.
    """
    try:
        body = json.loads(data)
        if body["format"] != FORMAT:
            raise errors.WeightsError(
                f"manifest format {body['format']!r}, this process reads {FORMAT}",
                step="manifest.decode",
            )
        files = tuple(
            File(item["path"], item["size"], tuple(item["chunks"]))
            for item in body["files"]
        )
        manifest = Manifest(files, body["chunk_bytes"])
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        raise errors.WeightsError(
            f"malformed manifest: {exc!r}", step="manifest.decode"
        ) from exc
    _check(manifest)
    if encode(manifest) != bytes(data):
        _reject("not in canonical form")
    return manifest


def chunk_sizes(manifest):
    """Return a dict of chunk digest to size in bytes, in order of first occurrence."""
    sizes = {}
    for file in manifest.files:
        remaining = file.size
        for digest in file.chunks:
            size = min(remaining, manifest.chunk_bytes)
            sizes.setdefault(digest, size)
            remaining -= size
    return sizes


def chunk_digests(manifest):
    """Return the distinct chunk digests in order; bit i of a bitmap is the i-th."""
    return tuple(chunk_sizes(manifest))


def total_bytes(manifest):
    """Return the size of the distinct chunks in bytes."""
    return sum(chunk_sizes(manifest).values())


def find_file(manifest, path):
    """Return the `File` at `path`, or None."""
    return next((file for file in manifest.files if file.path == path), None)


def read_file(manifest, path, get_chunk):
    """Return the content of one file.

    Parameters
    ----------
    manifest : Manifest
    path : str
    get_chunk : callable of (digest,) returning bytes or None

    Returns
    -------
    content : bytes

    Raises
    ------
    WeightsError
        If the file is not in the manifest or a chunk is not held.
    """
    file = find_file(manifest, path)
    if file is None:
        raise errors.WeightsError(f"no file {path!r}", step="manifest.read")
    parts = [get_chunk(digest) for digest in file.chunks]
    if any(part is None for part in parts):
        raise errors.WeightsError(
            f"a chunk of {path!r} is not held", step="manifest.read"
        )
    return b"".join(parts)


def _check(manifest):
    """Raise WeightsError unless `manifest` is consistent."""
    size = manifest.chunk_bytes
    if not _is_count(size) or not 0 < size <= MAX_CHUNK_BYTES:
        _reject(f"chunk size {size!r}, allowed are 1 to {MAX_CHUNK_BYTES}")
    if not manifest.files:
        _reject("no files")
    paths = [file.path for file in manifest.files]
    if not all(_is_usable_path(path) for path in paths):
        _reject("a path is empty, absolute or has '.' or '..' segments")
    if len(set(paths)) != len(paths):
        _reject("a path occurs twice")
    sizes = {}
    for file in manifest.files:
        if not _is_count(file.size) or len(file.chunks) != -(-file.size // size):
            _reject(f"size and chunks of {file.path!r} do not match")
        if not all(is_digest(digest) for digest in file.chunks):
            _reject(f"a chunk digest of {file.path!r} is not a SHA-256 in hex")
        _check_sizes(file, size, sizes)


def _check_sizes(file, chunk_bytes, sizes):
    """Reject a digest that is listed for chunks of different sizes."""
    remaining = file.size
    for digest in file.chunks:
        size = min(remaining, chunk_bytes)
        if sizes.setdefault(digest, size) != size:
            _reject(f"a chunk of {file.path!r} has two sizes")
        remaining -= size


def _reject(reason):
    raise errors.WeightsError(f"malformed manifest: {reason}", step="manifest.check")


def _is_count(value):
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_usable_path(path):
    if not isinstance(path, str) or not path or "\\" in path or "\0" in path:
        return False
    return all(part not in ("", ".", "..") for part in path.split("/"))
