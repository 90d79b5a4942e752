# ruff: noqa: D101,D102,D103
"""A part of prompts crashes each engine right after the first event of its answer."""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import users_platform as platform  # noqa: E402

DEADLY = "dead00"
"""Part of prompts that crashes engines; never the last one of a prompt."""

DOWN_S = 3.0
"""Time until an engine is back after a crash."""

DURATION_S = 45.0
SOUND_INTERVAL_S = 0.1
DEADLY_INTERVAL_S = 2.0
FREE_CRASHES = 5
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3


def parts_of(req):
    entries = req.headers.get("prompt-prefix", "").split(",")
    return [entry.split(":")[0] for entry in entries]


async def play(case):
    hits = []

    async def on_request(engine, req, writer, reader):
        if DEADLY not in parts_of(req)[:-1]:
            return None
        request_id = req.headers["request-id"]
        hits.append((platform.now(), request_id))
        case.note("deadly part runs", engine=engine.server_id, request=request_id)

        async def crash(number):
            # The next pass of the engine, which makes the tokens of the second event.
            await asyncio.sleep(0.02)
            engine.crash(DOWN_S)
            await asyncio.sleep(3600)

        signature = f"s.{engine.server_id}.{request_id}"
        headers = [("Request-Id", request_id), ("Server-Signature", signature)]
        return await engine.stream(req, writer, headers, after_event=crash)

    routes = [
        platform.route("s", "/s/", "streaming", "drafter"),
        platform.route(
            "n", "/n/", "streaming", "drafter", stream_resumption=False, max_attempts=1
        ),
    ]
    services = [platform.engine_service("drafter")]
    await case.begin(platform.configuration(case, routes, services))
    for number in range(8):
        engine = case.add_engine(f"e{number}", "drafter", model=platform.MODEL)
        engine.on_request = on_request
        await engine.start()
        await case.start_agent(engine)
    names = ["entry-1", "entry-2"]
    for name in names:
        await case.start_entry(name)
    await asyncio.sleep(2)
    sound, deadly = collections.Counter(), collections.Counter()

    async def send(number, parts, path, body, counter):
        headers = case.headers(
            case.new_id(),
            6000,
            [
                ("Model", platform.MODEL),
                ("Token-Usage", "600,80"),
                ("Prompt-Prefix", parts),
            ],
        )
        name = names[number % 2]
        address = case.entries[name]["frontend"]
        request_id = headers[0][1]
        if counter is deadly:
            case.note("deadly request sent", request=request_id, entry=name)
        answer = await platform.ask(address, "POST", path, headers, body)
        how = answer.status if answer.is_complete else f"{answer.status} broken off"
        if counter is deadly or not answer.is_complete:
            kind = "deadly" if counter is deadly else "sound"
            case.note(f"{kind} request ended", request=request_id, path=path, how=how)
        counter[path[1], how] += 1

    tasks, began, number = [], platform.now(), 0
    every = round(DEADLY_INTERVAL_S / SOUND_INTERVAL_S)
    while platform.now() - began < DURATION_S:
        # Sound requests share their customer and their first part with deadly ones.
        path = "/n/x" if number % 4 == 3 else "/s/x"
        parts = f"cafe{number % 5}:40,{number:x}f:560"
        task = send(number, parts, path, b"sound %d" % number, sound)
        tasks.append(asyncio.create_task(task))
        if case.has_trouble and number % every == every - 1:
            parts = f"cafe{number % 5}:40,{DEADLY}:100,{number:x}e:460"
            task = send(number // every, parts, "/s/x", b"d%d" % number, deadly)
            tasks.append(asyncio.create_task(task))
        number += 1
        await asyncio.sleep(SOUND_INTERVAL_S)
    await asyncio.gather(*tasks)
    crashes = sorted(at for engine in case.engines for at in engine.crash_times)
    late = []
    if len(crashes) >= FREE_CRASHES:
        after = crashes[FREE_CRASHES - 1] + CONTACT_S
        late = [request_id for at, request_id in hits if at > after]
    case.note("sound requests", **{f"{p}_{h}": n for (p, h), n in sound.items()})
    case.note("deadly requests", **{f"{p}_{h}": n for (p, h), n in deadly.items()})
    case.note(
        "result",
        crashes=len(crashes),
        reached_engines_late=len(late),
        requests_late=len(set(late)),
        allowed=MAX_LATER_REQUESTS,
    )
    # Counted by requests; the number of their arrivals at engines is higher.
    return len(set(late)) <= MAX_LATER_REQUESTS


platform.main(HERE, play)
