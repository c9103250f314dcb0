"""All machines are killed at the same moment after the store has dropped its history and the old version has left."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from standin import *  # noqa: E402,F403

EVENTS, PAUSE_S = 55, 0.12
OLD_SERVERS, NEW_SERVERS = 2, 7
STREAMS = 60
# Both versions have served side by side for this long; it exceeds every route's timeout.
SIDE_BY_SIDE_S = 20


async def scenario(env):
    record, answer = env.record, versioned_stream(EVENTS, PAUSE_S)
    store = await env.start_store()
    env.configure(7, [route("quote-draft", "/lohu930/", "streaming", "modello", 12000, 600, 2, resume=True)], [engine_service("modello")],
                  [{"name": "hule930", "api_keys": ["key-of-hule930"]}])
    old = [Server(store, record, env.ip(2), "modello", ZONES[i % 4], answer, "v1") for i in range(OLD_SERVERS)]
    new = [Server(store, record, env.ip(2), "modello", ZONES[i % 4], answer, "v2") for i in range(NEW_SERVERS)]
    for s in old + new:
        await s.start()
    routers = await env.start_routers(7)
    await asyncio.sleep(SIDE_BY_SIDE_S)
    clients = [StreamClient(env, n, EVENTS) for n in range(STREAMS)]
    jobs = [asyncio.ensure_future(c.run()) for c in clients]
    await asyncio.sleep(1.5)
    if env.trouble:
        await trouble(env, old, routers)
    await asyncio.gather(*jobs)
    return judge_versions(env, clients)


async def trouble(env, old, routers):
    record, store = env.record, env.store
    # platform_compact, how drain: watches hear nothing for a second, in which servers leave; then the history is dropped.
    record("watches-hear-nothing")
    store.muted = True
    for s in old:
        # It never reports draining: its entry is removed, and it goes on serving what it has.
        record("server-leaves", server=s.id, version=s.version)
        s.beating.cancel()
        store.delete("servers/" + s.id)
    await asyncio.sleep(1)
    store.compact()
    record("history-dropped", up_to=store.floor)
    await asyncio.sleep(0.5)
    for r in routers:
        r.process.kill()
    record("all-routers-killed")
    for r in routers:
        r.process.wait()
    await asyncio.sleep(0.4)
    for r in routers:
        r.start(f"{store.ip}:{store.port}")


main(HERE, scenario)
