"""A part of a prompt crashes each server that begins to write an answer on it: right after its first event."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from standin import *  # noqa: E402,F403

BAD_PART = "bad0bad0"
EVENTS, PAUSE_S = 12, 0.05
SERVERS = 9
DOWN_S = 3.0
SOUND_GAP_S, BAD_GAP_S = 0.03, 0.7
LENGTH_S = 40


class Servers:
    """The model servers, and what they saw of requests with the bad part."""

    def __init__(self, env):
        self.env, self.crashes, self.arrivals = env, [], []

    async def answer(self, server, req, writer):
        bad = BAD_PART in req.get("Orioleusher-Prefix-Hash")
        if bad:
            self.arrivals.append(time.monotonic())
        first = int(req.get("Last-Event-Id") or 0) + 1
        await asyncio.sleep(0.06)
        writer.write(stream_head(req))
        for n in range(first, EVENTS + 1):
            writer.write(chunk(event(n, f"x {n}")))
            await writer.drain()
            if bad:
                # The server has begun to write, and dies.
                await asyncio.sleep(0.005)
                asyncio.ensure_future(self.crash(server))
                return False
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")

    async def crash(self, server):
        if not server.up:
            return
        server.crash()
        self.crashes.append(time.monotonic())
        await asyncio.sleep(DOWN_S)
        self.env.store.delete("servers/" + server.id)
        server.id = "i-%010x" % random.getrandbits(40)
        await server.start()


async def send(env, bad, number, sound):
    request_id = new_id()
    parts = f"aa:500,{BAD_PART if bad else '%x' % (0x1000 + number % 57)}:1000,{request_id[:8]}:100"
    router = random.choice(env.routers)
    env.record("sent", id=request_id, bad=bad, router=router.name, parts=parts)
    a = await call(router.front, "POST", "/lohu930/2f", request_id,
                   [("Api-Key", "key-of-hule930"), ("Orioleusher-Model", "m"), ("Orioleusher-Token-Usage", "1300,400"),
                    ("Orioleusher-Prefix-Hash", parts), ("Orioleusher-Deadline-Ms", "12000")], request_id.encode() * 70)
    env.record("answered", id=request_id, bad=bad, status=a.status, complete=a.complete, error=a.error or "-")
    if not bad:
        sound.append(a.status == 200 and a.complete)


async def scenario(env):
    store, sound = await env.start_store(), []
    env.configure(7, [route("quote-draft", "/lohu930/", "streaming", "modello", 12000, 600, 2, resume=True)],
                  [engine_service("modello", 0.0, 0.0)], [{"name": "hule930", "api_keys": ["key-of-hule930"]}])
    servers = Servers(env)
    for i in range(SERVERS):
        await Server(store, env.record, env.ip(2), "modello", ZONES[i % 4], servers.answer).start()
    await env.start_routers(7)
    await asyncio.sleep(10)
    jobs, number, start = [], 0, time.monotonic()
    next_bad = start + 2
    while time.monotonic() - start < LENGTH_S:
        jobs.append(asyncio.ensure_future(send(env, False, number, sound)))
        number += 1
        if env.trouble and time.monotonic() > next_bad:
            jobs.append(asyncio.ensure_future(send(env, True, number, sound)))
            next_bad += BAD_GAP_S
        await asyncio.sleep(SOUND_GAP_S)
    await asyncio.gather(*jobs)
    fifth = servers.crashes[4] if len(servers.crashes) >= 5 else float("inf")
    late = sum(at > fifth + BOUNDS["stable_window_ms"] / 1000 for at in servers.arrivals)
    env.record("result", crashes=len(servers.crashes), arrivals=len(servers.arrivals), later_than_window_after_fifth_crash=late,
               sound=len(sound), sound_served_whole=sum(sound))
    print(f"{len(servers.crashes)} crashes, {len(servers.arrivals)} arrivals with the part, {late} of them later than the window after the "
          f"fifth crash; {sum(sound)} of {len(sound)} sound requests served whole")
    return BROKEN if late > 3 else HOLD


main(HERE, scenario)
