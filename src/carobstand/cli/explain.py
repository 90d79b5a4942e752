"""carobstand-explain: asks an entry where a request would go now; sends nothing."""

import json
import os
import sys

import anyio
import rich.box
import rich.console
import rich.table
import rich.text

from carobstand import errors, settings
from carobstand.transfer import piece_stream
from carobstand.wire.gen_fleet import ttypes

EXIT_NO_REPLY = 1
"""Exit status if no entry replied."""

REPLY_TIMEOUT_S = 5.0
"""An entry ranks 11,000 servers in well under a second, but may be busy."""


async def ask(cfg):
    """Return the `ExplainReply` of an entry.

    Parameters
    ----------
    cfg : settings.ExplainSettings

    Raises
    ------
    ConnectionClosedError, WireError
    """
    request = ttypes.ExplainRequest(
        cfg.host, cfg.path, cfg.api_key, cfg.prompt_tokens, cfg.max_answer_tokens
    )
    frames = await piece_stream.connect(cfg.entry)
    try:
        await piece_stream.send(frames, request)
        reply = await piece_stream.receive(frames, REPLY_TIMEOUT_S)
    finally:
        await anyio.aclose_forcefully(frames.stream)
    if not isinstance(reply, ttypes.ExplainReply):
        raise errors.WireError("not an explanation", step="explain", peer=cfg.entry)
    return reply


def to_record(reply):
    """Return a reply as an object for JSON."""
    record = dict(vars(reply))
    for name in ("ranked", "excluded"):
        record[name] = [vars(item) for item in record[name]]
    return record


def print_text(reply, console):
    """Print a reply as a summary and a table of servers."""
    regions = reply.permitted_regions
    rows = [
        ("entry", reply.vm),
        ("verdict", f"{reply.verdict}: {reply.reason}"),
        ("route", reply.route),
        ("service", f"{reply.service_name} ({reply.service_share:.0%} of the route)"),
        ("customer", reply.customer or "none"),
        ("allowed regions", "all" if regions is None else ", ".join(regions) or "none"),
    ]
    if not reply.service_name:
        rows = rows[:2]
    if reply.admitted_part < 1:
        rows.append(("fair share", f"{reply.admitted_part:.0%} of such requests"))
    for name, value in rows:
        _print(console, f"{name + ':':<17}{value}")
    if reply.ranked or reply.excluded:
        console.print(_table(reply))


def _print(console, line):
    # Names come from the configuration and are no markup.
    console.print(line, markup=False, highlight=False, soft_wrap=True)


def _table(reply):
    table = rich.table.Table(box=rich.box.SIMPLE)
    for name in ("server", "failure domain", "why not"):
        table.add_column(name, overflow="fold")
    for name in ("first event s", "margin s", "occupancy", "slowness", "cost s"):
        table.add_column(name, justify="right")
    for item in reply.ranked:
        figures = (
            f"{item.first_event_s:.3f}",
            f"{item.margin_s:.3f}",
            f"{item.occupancy:.1f}",
            f"{item.slowness:.2f}",
            f"{item.cost_s:.3f}",
        )
        table.add_row(*_plain(item.server_id, item.failure_domain, ""), *figures)
    for item in reply.excluded:
        table.add_row(*_plain(item.server_id, item.failure_domain, item.reason))
    return table


def _plain(*texts):
    return [rich.text.Text(text) for text in texts]


def run(cfg):
    """Ask the entry and print its reply.

    Parameters
    ----------
    cfg : settings.ExplainSettings

    Raises
    ------
    ConnectionClosedError, WireError
    """
    reply = anyio.run(ask, cfg)
    if cfg.json:
        print(json.dumps(to_record(reply), indent=2))
    else:
        print_text(reply, rich.console.Console())


def main():
    """Run the program with the settings of the command line and environment."""
    cfg = settings.load(settings.ExplainSettings, sys.argv[1:], os.environ)
    try:
        run(cfg)
    except (errors.ConnectionClosedError, errors.WireError) as exc:
        print(f"error: no explanation from {cfg.entry}: {exc.message}", file=sys.stderr)
        sys.exit(EXIT_NO_REPLY)


if __name__ == "__main__":
    main()
