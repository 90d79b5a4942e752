"""carobstand-table: command-line program for the table and for weights."""

import datetime
import os
import pathlib
import secrets
import sys
import time

import anyio
import rich.console
import rich.progress

from carobstand import errors, settings
from carobstand.cli import edits, fleet, progress, publish
from carobstand.core import table
from carobstand.platform import origin as origins
from carobstand.platform import store as stores

USAGE = """\
commands:
  export [REVISION]            print the table as CSV; its revision on standard error
  check FILE                   check a CSV file
  diff FILE [REVISION]         show the changes in FILE
  set KIND NAME SERVICE COLUMN=VALUE...   change cells of one row ("" for no service)
  accept FILE REVISION         apply FILE, an edited export of REVISION
  rollback REVISION            restore the rows of an earlier revision
  history                      list the last accepted changes
  status                       list outdated processes (needs --entries)
  watch                        print changes of the status until interrupted
  publish PATH                 upload a file or directory of weights to the origin
"""

EXIT_REFUSED = 1
"""Exit status if the command failed."""

EXIT_UNKNOWN = 3
"""Exit status if it is unknown whether a change was accepted."""

WATCH_INTERVAL_S = 1.0

CONSOLE = rich.console.Console(stderr=True)


def _author(cfg):
    return edits.Author(cfg.author, time.time(), secrets.token_hex(8))


def _read_file(path):
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise errors.TableError(
            f"{path}: {exc.strerror or exc}", step="table.read"
        ) from exc
    return table.parse_csv(data, path)


def _revision(text):
    if not text.isdigit():
        raise errors.TableError(f"{text!r} is not a revision", step="arguments")
    return int(text)


def format_changes(changes):
    """Return one line for each `table.Change`."""
    lines = []
    for change in changes:
        where = " ".join(part for part in change.key if part)
        if change.old is None:
            lines.append(f"+ {where}: {change.new}")
        elif change.new is None:
            lines.append(f"- {where}: {change.old}")
        else:
            lines.append(f"~ {where}: {change.column} {change.old!r} -> {change.new!r}")
    return lines


async def _export(cfg, store, revision=None):
    if revision is None:
        _, found = await edits.read(store)
    else:
        found = await edits.read_revision(store, _revision(revision))
    print(f"revision {found.revision}", file=sys.stderr)
    sys.stdout.write(table.to_csv(found).decode())


async def _check(cfg, store, path):
    print(f"{path}: {len(_read_file(path))} rows, no errors")


async def _diff(cfg, store, path, revision=None):
    rows = _read_file(path)
    if revision is None:
        _, base = await edits.read(store)
    else:
        base = await edits.read_revision(store, _revision(revision))
    for line in format_changes(table.diff(base, rows)):
        print(line)


async def _set(cfg, store, kind, name, service, *cells):
    changes = dict(cell.split("=", 1) for cell in cells if "=" in cell)
    if len(changes) != len(cells) or not cells:
        raise errors.TableError(
            "cells must have the form COLUMN=VALUE", step="arguments"
        )
    _, base = await edits.read(store)
    rows = table.set_cells(base, (kind, name, service), changes)
    await _accept_rows(cfg, store, base, rows, f"set {kind} {name} {' '.join(cells)}")


async def _accept(cfg, store, path, revision):
    rows = _read_file(path)
    base = await edits.read_revision(store, _revision(revision))
    await _accept_rows(cfg, store, base, rows, f"accept {os.path.basename(path)}")


async def _rollback(cfg, store, revision):
    _, base = await edits.read(store)
    old = await edits.read_revision(store, _revision(revision))
    await _accept_rows(cfg, store, base, old.rows, f"rollback to {old.revision}")


async def _accept_rows(cfg, store, base, rows, summary):
    changes = table.diff(base, rows)
    if not changes:
        print(f"nothing to change; revision {base.revision}")
        return
    author = _author(cfg)
    revision = await edits.accept(store, base, rows, author, summary)
    for line in format_changes(changes):
        print(line)
    print(f"accepted as revision {revision}, change {author.change_id}")


async def _history(cfg, store):
    _, current = await edits.read(store)
    for record in current.history:
        print(
            f"{record.revision:>8}  {_format_time(record.when)}  {record.change_id}  "
            f"{record.who}: {record.summary}"
        )


def _format_time(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _format_since(at, now):
    return f"{_format_time(at)} ({max(0, now - at):.1f} s)"


async def _current(store, bodies):
    """Return the current table; without the store only its revision is set."""
    if store is not None:
        try:
            return (await edits.read(store))[1]
        except errors.StoreError as exc:
            print(
                f"cannot read the table from the store: {exc.message}", file=sys.stderr
            )
    revision = max((body["table_revision"] for body in bodies), default=0)
    return table.Table(revision)


async def status_lines(store, processes, bodies):
    """Return lines on outdated and unreachable processes, and whether none exist."""
    current = await _current(store, bodies)
    plans, plans_at = {}, {}
    for body in bodies:
        for service, revision in body.get("plan_revisions", {}).items():
            plans[service] = max(plans.get(service, 0), revision)
        for service, plan in body.get("control", {}).get("plans", {}).items():
            if plan["revision"] == plans.get(service):
                known = plans_at.get(service, plan["at"])
                plans_at[service] = min(known, plan["at"])
    behind = fleet.lags(processes, current, plans, plans_at)
    now = time.time()
    silent = [process for process in processes if process.error]
    lines = [
        f"table revision {current.revision}; {len(processes)} processes, "
        f"{len({(lag.role, lag.vm) for lag in behind})} behind, {len(silent)} silent"
    ]
    for process in silent:
        since = (
            ""
            if process.last_seen_at is None
            else f", since {_format_since(process.last_seen_at, now)}"
        )
        lines.append(f"{process.role} {process.vm}: {process.error}{since}")
    for lag in behind:
        since = "an unknown time"
        if lag.since is not None:
            since = _format_since(lag.since, now)
        lines.append(
            f"{lag.role} {lag.vm}: {lag.subject} revision {lag.held}, "
            f"{lag.current - lag.held} behind {lag.current}, since {since}"
        )
    for body in bodies:
        refused = body.get("control", {}).get("refused")
        if refused:
            lines.append(f"entry {body['vm']}: refused: {refused}")
    return lines, not behind and not silent


async def _fetch_statuses(cfg):
    if not cfg.entries:
        raise errors.SettingsError("--entries is missing", step="settings")
    return await fleet.fetch_statuses(cfg.entries)


async def _status(cfg, store):
    processes, bodies = await _fetch_statuses(cfg)
    found = progress.collect(bodies)
    earlier, seconds = None, 0.0
    if progress.is_fetching(found):
        # The rate needs a second sample.
        earlier, start = found, time.monotonic()
        await anyio.sleep(WATCH_INTERVAL_S)
        processes, bodies = await _fetch_statuses(cfg)
        found, seconds = progress.collect(bodies), time.monotonic() - start
    lines, is_current = await status_lines(store, processes, bodies)
    print("\n".join([*lines, *progress.lines(found, earlier, seconds)]))
    return 0 if is_current else EXIT_REFUSED


async def _watch(cfg, store):
    last_printed, earlier, polled_at = None, None, 0.0
    while True:
        processes, bodies = await _fetch_statuses(cfg)
        now = time.monotonic()
        found = progress.collect(bodies)
        lines, _ = await status_lines(store, processes, bodies)
        comparable = [line.partition(", since")[0] for line in lines]
        lines += progress.lines(found, earlier, now - polled_at)
        comparable += progress.lines(found)
        if comparable != last_printed:
            print(f"{_format_time(time.time())}  " + "\n    ".join(lines), flush=True)
            last_printed = comparable
        earlier, polled_at = found, now
        await anyio.sleep(WATCH_INTERVAL_S)


async def _publish(cfg, store, path):
    if not cfg.origin_url:
        raise errors.SettingsError("--origin-url is missing", step="settings")
    origin = origins.http_origin(cfg.origin_url)
    try:
        with rich.progress.Progress(console=CONSOLE) as progress:
            task = progress.add_task("upload", total=None)
            digest = await publish.publish(
                origin,
                path,
                lambda done, total: progress.update(task, completed=done, total=total),
            )
    finally:
        await origin.close()
    print(digest)


COMMANDS = {
    "export": (_export, 0, 1),
    "check": (_check, 1, 1),
    "diff": (_diff, 1, 2),
    "set": (_set, 4, None),
    "accept": (_accept, 2, 2),
    "rollback": (_rollback, 1, 1),
    "history": (_history, 0, 0),
    "status": (_status, 0, 0),
    "watch": (_watch, 0, 0),
    "publish": (_publish, 1, 1),
}
"""Function, minimum and maximum number of arguments of each command."""

COMMANDS_WITHOUT_STORE = frozenset({"check", "publish", "status", "watch"})


async def run(cfg):
    """Run the command in `cfg.arguments`; return the exit status."""
    name, *arguments = cfg.arguments or ("",)
    if name not in COMMANDS:
        raise errors.SettingsError(f"unknown command {name!r}", step="arguments")
    func, min_arguments, max_arguments = COMMANDS[name]
    if len(arguments) < min_arguments or (
        max_arguments is not None and len(arguments) > max_arguments
    ):
        raise errors.SettingsError(
            f"{name}: wrong number of arguments ({len(arguments)})", step="arguments"
        )
    if not cfg.store_url and name not in COMMANDS_WITHOUT_STORE:
        raise errors.SettingsError("--store-url is missing", step="settings")
    store = stores.http_store(cfg.store_url) if cfg.store_url else None
    try:
        return await func(cfg, store, *arguments) or 0
    except errors.StoreUnavailableError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return EXIT_UNKNOWN if "may have been" in exc.message else EXIT_REFUSED
    finally:
        if store is not None:
            await store.close()


def main():
    """Run the program with the settings of the command line and environment."""
    argv = sys.argv[1:]
    if not argv or "--help" in argv or "-h" in argv or argv[0] == "help":
        print("usage: carobstand-table [options] COMMAND [arguments]\n\n" + USAGE)
        if not argv:
            sys.exit(settings.EXIT_STATUS)
        argv = ["--help"]
    cfg = settings.load(settings.TableSettings, argv, os.environ)
    try:
        status = anyio.run(run, cfg)
    except errors.SettingsError as exc:
        settings.exit_with_error(exc)
    except errors.CarobstandError as exc:
        print(f"error: {exc}", file=sys.stderr)
        status = EXIT_REFUSED
    except KeyboardInterrupt:
        status = 0
    sys.exit(status)


if __name__ == "__main__":
    main()
