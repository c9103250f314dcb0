"""A server crashes in the middle of answers without a length, to requests with long bodies that it has not read yet."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from standin import *  # noqa: E402,F403

SERVERS = 4
ORDERS = 24
# Within max_body_bytes of the configuration, 4,194,304.
ORDER_BYTES = 4_190_000
ANSWER = b"order confirmed, 2000 sacks; " * 20
WORK_S = 0.6
# Links have small windows, so that a peer that does not read blocks the writer.
WINDOW_BYTES = 8 << 10


class EarlyServer(Server):
    """Answers before it has read a long body, without a length, and reads on later. Its answer ends with its connection."""

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        incarnation = self.born
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = [tuple(p.strip() for p in line.split(":", 1)) for line in head[1:] if line]
            method, path, _ = head[0].split(" ", 2)
            req = Request(method, path, headers, b"")
            request_id = req.get("Orioleusher-Request-Id")
            self.record("runs", server=self.id, id=request_id)
            writer.write((f"HTTP/1.1 200 OK\r\nOrioleusher-Request-Id: {request_id}\r\nOrioleusher-Response-Stamp: {stamp()}\r\n"
                          "Content-Type: text/plain\r\n\r\n").encode() + ANSWER[:len(ANSWER) // 2])
            await writer.drain()
            await asyncio.sleep(WORK_S)
            if not self.up or self.born != incarnation:
                return
            writer.write(ANSWER[len(ANSWER) // 2:])
            await writer.drain()
            self.record("answered-whole", server=self.id, id=request_id)
            writer.write_eof()
            while await reader.read(1 << 16):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def order(env, number, results):
    request_id, router = new_id(), env.routers[number % len(env.routers)]
    env.record("sent", id=request_id, router=router.name, bytes=ORDER_BYTES)
    a = await call(router.front, "POST", "/puxa403/2f", request_id,
                   [("Api-Key", "key-of-hule930"), ("Orioleusher-Deadline-Ms", "8000")], b"x" * ORDER_BYTES, timeout_s=9)
    env.record("answered", id=request_id, status=a.status, complete=a.complete, error=a.error or "-", bytes=len(a.body),
               whole=a.body == ANSWER)
    results.append(a)


async def scenario(env):
    store, results = await env.start_store(), []
    env.configure(7, [route("order-confirm", "/puxa403/", "unsafe", "banco", 8000, 100, 1)], [plain_service("banco")],
                  [{"name": "hule930", "api_keys": ["key-of-hule930"]}])
    servers = [EarlyServer(store, env.record, env.ip(2), "banco", z, None, slots=12) for z in ZONES[:SERVERS]]
    for s in servers:
        s.window = WINDOW_BYTES
        await s.start()
    await env.start_routers(7)
    await asyncio.sleep(10)
    jobs = [asyncio.ensure_future(order(env, n, results)) for n in range(ORDERS)]
    if env.trouble:
        # The server with the most orders crashes while it is in the middle of several answers.
        for _ in range(500):
            await asyncio.sleep(0.01)
            busiest = max(servers, key=lambda s: len(s.writers))
            if len(busiest.writers) >= 3:
                break
        await asyncio.sleep(0.2)
        busiest.crash()
        await asyncio.sleep(2)
        await busiest.start()
    await asyncio.gather(*jobs)
    successes = [a for a in results if a.status == 200 and a.complete]
    cut = sum(a.body != ANSWER for a in successes)
    env.record("result", orders=len(results), complete_successes=len(successes), of_these_cut_off=cut)
    print(f"{len(results)} orders, {len(successes)} answered with a complete 200, {cut} of these with a part of the server's body")
    return BROKEN if cut else HOLD


main(HERE, scenario)
