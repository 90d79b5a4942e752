"""Publishing of weights: files are split into chunks and uploaded to the origin."""

import os
import pathlib

import anyio

from carobstand import errors
from carobstand.core import manifest as manifests

MAX_CONCURRENT_UPLOADS = 4
"""Maximum number of chunks uploaded concurrently."""


def list_files(root):
    """Return the files at `root` as (path in the manifest, path).

    Raises
    ------
    WeightsError
        If `root` does not exist or has no files.
    """
    root = pathlib.Path(root)
    if root.is_file():
        return [(root.name, root)]
    if not root.is_dir():
        _fail(root, "no such file or directory")
    found = [
        (path.relative_to(root).as_posix(), path)
        for path in sorted(root.rglob("*"))
        if path.is_file()
    ]
    if not found:
        _fail(root, "directory is empty")
    return found


async def publish(origin, root, on_chunk=lambda done, total: None):
    """Upload the chunks of a file or directory, then the manifest.

    Parameters
    ----------
    origin : platform.origin.Origin
    root : str or path
    on_chunk : callable of (bytes done, bytes in total)

    Returns
    -------
    digest : str
        Digest of the manifest.

    Raises
    ------
    WeightsError
        If there are no files, or one is unreadable or changes during the upload.
    OriginError
    """
    files = list_files(root)
    initial_stamps = _file_stamps(files)
    total = sum(stamp[0] for stamp in initial_stamps)
    entries, uploaded = [], set()
    done = 0
    for (name, path), (expected, _) in zip(files, initial_stamps, strict=True):
        digests = []
        size = 0
        for parts in _read_chunk_groups(path):
            chunks = {manifests.digest_of(part): part for part in parts}
            digests.extend(map(manifests.digest_of, parts))
            await _upload(origin, chunks, uploaded)
            size += sum(map(len, parts))
            done += sum(map(len, parts))
            on_chunk(done, total)
            if size > expected:
                # Reading a file that grows as fast as it is read would never end.
                _fail(path, "changed while it was read; nothing was published")
        entries.append(manifests.File(name, size, tuple(digests)))
    if [name for name, _ in list_files(root)] != [n for n, _ in files] or (
        _file_stamps(files) != initial_stamps
    ):
        _fail(root, "changed while it was read; nothing was published")
    manifest = manifests.Manifest(tuple(entries), manifests.DEFAULT_CHUNK_BYTES)
    data = manifests.encode(manifest)
    manifests.decode(data)
    digest = manifests.digest_of(data)
    await origin.publish_manifest(digest, data)
    return digest


async def _upload(origin, chunks, uploaded):
    async with anyio.create_task_group() as tg:
        for digest, part in chunks.items():
            if digest not in uploaded:
                uploaded.add(digest)
                tg.start_soon(origin.publish_chunk, digest, part)


def _read_chunk_groups(path):
    """Yield lists of up to `MAX_CONCURRENT_UPLOADS` chunks of one file."""
    try:
        with path.open("rb") as file:
            while True:
                parts = [file.read(manifests.DEFAULT_CHUNK_BYTES)]
                while parts[-1] and len(parts) < MAX_CONCURRENT_UPLOADS:
                    parts.append(file.read(manifests.DEFAULT_CHUNK_BYTES))
                parts = [part for part in parts if part]
                if not parts:
                    return
                yield parts
    except OSError as exc:
        _fail(path, exc.strerror or str(exc))


def _file_stamps(files):
    """Return size and modification time of each file."""
    try:
        stats = [os.stat(path) for _, path in files]
    except OSError as exc:
        _fail(exc.filename, f"changed while it was read ({exc.strerror})")
    return [(stat.st_size, stat.st_mtime_ns) for stat in stats]


def _fail(path, reason):
    raise errors.WeightsError(f"{path}: {reason}", step="publish", peer=str(path))
