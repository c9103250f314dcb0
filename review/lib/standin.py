"""Stand-ins for the scripts of the review: the platform's store, servers, clients, and the router as a process.

Everything runs on loopback addresses. The router is built and started by the commands of deploy/system.toml, with
settings rendered from its template and the figures of a small deployment (lobue-ordini).
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
ZONES = ["catania-a", "catania-b", "acireale", "siracusa"]
# The bounds of the site file of lobue-ordini.
BOUNDS = {
    "stable_window_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "retry_budget_ratio": 0.2,
    "budget_slack": 54, "cold_overage": 1.5, "cold_slack": 5,
}
HOLD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run, with the time since the start, to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


class Store:
    """The platform's store as PROTOCOL.md tells it: /kv-range and /kv-watch."""

    def __init__(self, ip):
        self.ip, self.port, self.revision, self.items, self.events = ip, 0, 100, {}, []
        # Changes up to floor are discarded; while muted, watches hear nothing.
        self.floor, self.muted, self.cuts = 100, False, 0
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(raw).decode(), "revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self._add(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "deleted": True})

    def compact(self):
        """Drops the history and cuts the watches that wait."""
        self.floor, self.events, self.muted = self.revision, [], False
        self.cuts += 1
        self._wake()

    def _add(self, event):
        self.events.append(event)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                status, body = await self._answer(path)
                raw = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path):
        from urllib.parse import parse_qs, urlsplit
        url = urlsplit(path)
        q = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        prefix = q.get("prefix", "")
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > q.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "has_more": len(keys) > 500, "at": self.revision}
        if url.path == "/kv-watch":
            after, until, cuts = int(q["after"]), time.monotonic() + int(q["wait_ms"]) / 1000, self.cuts
            while True:
                if self.cuts != cuts:
                    raise ConnectionResetError
                if after < self.floor:
                    return 410, {}
                changed = self.changed
                events = [] if self.muted else [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    def get(self, name):
        for k, v in self.headers:
            if k.lower() == name.lower():
                return v
        return ""


async def read_message(reader):
    """Returns the first line, the headers and the body of a request with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = [tuple(p.strip() for p in line.split(":", 1)) for line in head[1:] if line]
    length = next((int(v) for k, v in headers if k.lower() == "content-length"), 0)
    return head[0], headers, await reader.readexactly(length) if length else b""


class Server:
    """A server of a service. answer(server, request, writer) writes the answer; it returns False to close the connection."""

    def __init__(self, store, record, ip, service, zone, answer, version="v1", slots=64, name=None):
        self.store, self.record, self.ip, self.port = store, record, ip, 0
        self.service, self.zone, self.answer, self.version, self.slots = service, zone, answer, version, slots
        self.id = name or "i-%010x" % random.getrandbits(40)
        self.sequence, self.cold_until, self.up, self.state = 0, 0.0, False, "ready"
        self.writers, self.listener, self.beating = set(), None, None
        self.window = 0  # the size of the receive buffer, if it is not the system's

    async def start(self, cold_s=0.0):
        """Starts an incarnation: listens and registers."""
        self.born, self.sequence = int(time.time() * 1000), 0
        self.cold_until = time.monotonic() + cold_s
        self.listener = await asyncio.start_server(self._serve, sock=self._listen(), limit=8 << 10)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.up = True
        self.beating = asyncio.ensure_future(self._beat())
        self.record("server-started", server=self.id, service=self.service, version=self.version, address=f"{self.ip}:{self.port}", cold_s=cold_s)

    def _listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.window:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        listener.bind((self.ip, self.port))
        listener.listen(200)
        return listener

    def register(self):
        self.sequence += 1
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": self.state, "cold_remaining_ms": cold, "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence, "born": self.born,
        })

    async def _beat(self):
        while self.up:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The process dies: its listener and its connections are gone, and its peers get resets."""
        if not self.up:
            return
        self.up = False
        self.record("server-crashed", server=self.id)
        self.beating.cancel()
        self.listener.close()
        for w in list(self.writers):
            reset(w)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        incarnation = self.born
        try:
            while self.up and self.born == incarnation:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                req = Request(method, path, headers, body)
                if path == "/health":
                    writer.write(f"HTTP/1.1 200 OK\r\nOrioleusher-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                expected = req.get("Orioleusher-Expect-Instance")
                if expected and expected != self.id:
                    self.record("421", server=self.id, id=req.get("Orioleusher-Request-Id"), expected=expected)
                    writer.write(f"HTTP/1.1 421 Misdirected\r\nOrioleusher-Instance-Id: {self.id}\r\nOrioleusher-Request-Id: {req.get('Orioleusher-Request-Id')}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.record("arrives", server=self.id, service=self.service, version=self.version, id=req.get("Orioleusher-Request-Id"), path=path,
                            tenant=req.get("Orioleusher-Tenant-Id") or "-", after=req.get("Last-Event-Id") or "-",
                            router=writer.get_extra_info("peername")[0])
                if await self.answer(self, req, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def stamp():
    return "%08x" % random.getrandbits(32)


def whole(req, body, status=200, extra=""):
    """An answer with a length."""
    return (f"HTTP/1.1 {status} X\r\nOrioleusher-Request-Id: {req.get('Orioleusher-Request-Id')}\r\nOrioleusher-Response-Stamp: {stamp()}\r\n"
            f"Content-Type: text/plain\r\n{extra}Content-Length: {len(body)}\r\n\r\n").encode() + body


def stream_head(req, extra=""):
    return (f"HTTP/1.1 200 OK\r\nOrioleusher-Request-Id: {req.get('Orioleusher-Request-Id')}\r\nOrioleusher-Response-Stamp: {stamp()}\r\n"
            f"Content-Type: text/event-stream\r\nOrioleusher-Weight-Versions: 1\r\n{extra}Transfer-Encoding: chunked\r\n\r\n").encode()


def chunk(raw):
    return b"%x\r\n" % len(raw) + raw + b"\r\n"


def event(number, text):
    return f"id: {number}\ndata: {text}\n\n".encode()


class Router:
    """A router process on its own loopback address."""

    def __init__(self, env, ip, name, zone, seeds):
        self.env, self.ip, self.name, self.zone, self.seeds, self.process = env, ip, name, zone, seeds, None
        self.front, self.ready, self.control = f"{ip}:8227", f"{ip}:8220", f"{ip}:8229"

    def start(self, store_address):
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.ip, "zones": {z: "sicilia" for z in ZONES},
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "platform": {"address": store_address, "history_s": 20}, "seeds": self.seeds,
            "limits": {"memory_mb": 284}, "bounds": BOUNDS,
        }
        role = deployed_role()
        with open(os.path.join(ROOT, role["template"])) as f:
            text = render(f.read(), fields)
        path = os.path.join(self.env.dir, self.name + ".json")
        with open(path, "w") as f:
            f.write(text)
        command = role["run"].replace("/etc/orioleusher/node.toml", path).split(" ")
        self.log = open(os.path.join(self.env.dir, self.name + ".log"), "a")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=self.log, stderr=self.log, env={"PATH": os.environ["PATH"], "HOME": self.env.dir})
        self.env.processes.append(self.process)
        self.env.record("router-started", router=self.name, address=self.front)

    async def await_ready(self, timeout_s=20):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            a = await call(self.ready, "GET", "/ready", "ready", [], timeout_s=1)
            if a.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} does not become ready")


def deployed_role():
    """Returns the texts of [roles.router] in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        section = f.read().split("[roles.router]")[1]
    return dict(re.findall(r'^(\w+) = "(.*)"$', section, flags=re.M))


class CannotRun(Exception):
    pass


def render(text, fields):
    """Renders the part of the template language of DEPLOY.md that deploy/router.json.tmpl uses."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value[part]
        return value

    def section(m):
        values = lookup(m.group(1))
        keys = list(values) if isinstance(values, dict) else range(len(values))
        out = []
        for i, k in enumerate(keys):
            item = m.group(2).replace("{{@}}", str(k)).replace("{{.}}", str(values[k] if not isinstance(values, dict) else values[k]))
            out.append(item.replace("{{,}}", "," if i + 1 < len(keys) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(m.group(1))), text)


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = 0, [], b"", False, ""

    def get(self, name):
        for k, v in self.headers:
            if k.lower() == name.lower():
                return v
        return ""


async def call(address, method, path, request_id, headers, body=b"", timeout_s=12.0, host="ficu95.example"):
    """Sends one request on a new connection and reads the answer as far as it comes."""
    a, writers = Answer(), []
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Orioleusher-Request-Id: {request_id}"]
    lines += [f"{k}: {v}" for k, v in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    try:
        await asyncio.wait_for(exchange(a, address, "\r\n".join(lines).encode() + b"\r\n\r\n" + body, writers), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
        a.error = type(e).__name__
    finally:
        for w in writers:
            w.close()
    return a


async def exchange(a, address, raw, writers):
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writers.append(writer)
    writer.write(raw)
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    a.status = int(head[0].split(" ")[1])
    a.headers = [tuple(p.strip() for p in line.split(":", 1)) for line in head[1:] if line]
    if a.get("Transfer-Encoding") == "chunked":
        while True:
            n = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            piece = await reader.readexactly(n + 2)
            if n == 0:
                break
            a.body += piece[:-2]
        a.complete = True
    elif a.get("Content-Length"):
        a.body = await reader.readexactly(int(a.get("Content-Length")))
        a.complete = True


def free_block():
    """Returns two bytes b, c such that the ports of a router are free at the address 127.b.c.61."""
    for _ in range(50):
        block = (random.randrange(16, 250), random.randrange(1, 250))
        try:
            for port in (8227, 8220, 8229, 19099):
                with socket.socket() as s:
                    s.bind((f"127.{block[0]}.{block[1]}.61", port))
            return block
        except OSError:
            continue
    raise CannotRun("no free addresses")


class Env:
    """What a script runs in: the record, a temporary folder, and a block of loopback addresses."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.block = free_block()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.next_ip = {}

    def ip(self, role):
        """A free address of the block; role is a number for routers (1), servers (2) or the store (3)."""
        n = self.next_ip[role] = self.next_ip.get(role, 0) + 1
        return f"127.{self.block[0]}.{self.block[1]}.{role * 60 + n}"

    async def start_store(self):
        self.store = Store(self.ip(3))
        await self.store.start()
        return self.store

    def configure(self, version, routes, services, tenants=None):
        c = {"version": version, "routes": routes, "services": services,
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        if tenants is not None:
            c["tenants"] = tenants
        self.store.put("op/config", c)

    async def start_routers(self, n):
        zones = [ZONES[i % len(ZONES)] for i in range(n)]
        ips = [self.ip(1) for _ in range(n)]
        seeds = [f"{ip}:8229" for ip in ips[:3]]
        self.routers = [Router(self, ip, f"front-{z}-{i + 1}", z, seeds) for i, (ip, z) in enumerate(zip(ips, zones))]
        for r in self.routers:
            r.start(f"{self.store.ip}:{self.store.port}")
        for r in self.routers:
            await r.await_ready()
        return self.routers

    def close(self):
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGKILL)
            p.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.dir, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


ENGINE = {"slots": 64, "kv_capacity_tokens": 630663, "kv_token_bytes": 35136, "link_mbps": 1500000.0, "moves": False, "backups": False,
          "stride": 7, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}


def engine_service(name, cold_s=3.0, cold_per_s=16.0):
    return {"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": False, "cold_start_s": cold_s,
            "cold_per_s": cold_per_s, "engine": ENGINE}


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}


def route(name, prefix, kind, service, timeout_ms, objective_ms, attempts, resume=False, public=False, priority=0):
    r = {"name": name, "host": "ficu95.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": objective_ms,
         "priority": priority, "service": service, "max_attempts": attempts, "public": public, "sticky": kind == "streaming", "resume_streams": resume}
    if kind == "streaming":
        r["gap_aim_ms"] = 300
    return r


class StreamClient:
    """One request for a stream by a sound client, with its tries: each on a new connection, with what it has received."""

    def __init__(self, env, number, events, deadline_s=12.0, tries=4):
        self.env, self.number, self.events, self.deadline_s, self.tries = env, number, events, deadline_s, tries
        self.first_id, self.last, self.versions, self.done = "", 0, [], False
        self.pause_s = 0.7  # before the next try, unless the answer says how long

    async def run(self):
        end = time.monotonic() + self.deadline_s
        for _ in range(self.tries):
            left = end - time.monotonic()
            if left <= 0.1:
                return
            a = await self.attempt(left)
            if a.status == 200 and a.complete and self.last == self.events:
                self.done = True
                return
            left = end - time.monotonic()
            await asyncio.sleep(min(float(a.get("Retry-After") or self.pause_s), max(0, left) / 3))

    async def attempt(self, left):
        request_id = new_id()
        headers = [("Api-Key", "key-of-hule930"), ("Orioleusher-Model", "m"), ("Orioleusher-Token-Usage", "1300,400"),
                   ("Orioleusher-Prefix-Hash", f"aa:500,{0x100 + self.number:x}:1000,{request_id[:8]}:100"),
                   ("Orioleusher-Deadline-Ms", str(int(left * 1000)))]
        if self.last:
            headers += [("Last-Event-Id", str(self.last)), ("Resumes", self.first_id)]
        router = random.choice(self.env.routers)
        self.env.record("sent", client=self.number, id=request_id, router=router.name, after=self.last, resumes=self.first_id if self.last else "-")
        a = await call(router.front, "POST", "/lohu930/2f", request_id, headers, b"x" * 1200, timeout_s=left)
        for e in a.body.split(b"\n\n"):
            lines = e.split(b"\n")
            if len(lines) == 2 and lines[0].startswith(b"id: "):
                if not self.last:
                    self.first_id = request_id
                self.last, version = int(lines[0][4:]), lines[1].split(b" ")[1].decode()
                if version not in self.versions:
                    self.versions.append(version)
        self.env.record("answered", client=self.number, id=request_id, status=a.status, complete=a.complete, error=a.error or "-",
                        last=self.last, versions="+".join(self.versions) or "-", text=a.body[:160] if a.status != 200 else "-")
        return a


def versioned_stream(events, pause_s):
    """A model server that goes on after Last-Event-Id, whatever version began the stream. Each event names its version."""
    async def answer(server, req, writer):
        first, version = int(req.get("Last-Event-Id") or 0) + 1, server.version
        writer.write(stream_head(req))
        await asyncio.sleep(0.05)
        for n in range(first, events + 1):
            writer.write(chunk(event(n, f"{version} {n}")))
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
    return answer


def judge_versions(env, clients):
    """ORDER of the news page: more than two streams hold events from servers of two software versions."""
    mixed = [c.number for c in clients if len(c.versions) > 1]
    env.record("result", streams=len(clients), complete=sum(c.done for c in clients), with_two_versions=len(mixed), of=mixed)
    print(f"{len(clients)} streams, {sum(c.done for c in clients)} complete, {len(mixed)} with events of two versions")
    return BROKEN if len(mixed) > 2 else HOLD


def new_id():
    return "%016x" % random.getrandbits(64)


def main(folder, scenario):
    """Runs the scenario and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def run():
        try:
            env = Env(folder)
        except CannotRun as e:
            print("cannot run:", e)
            return CANNOT_RUN
        try:
            return await asyncio.wait_for(scenario(env), 105)
        except CannotRun as e:
            env.record("cannot-run", cause=e)
            return CANNOT_RUN
        except asyncio.TimeoutError:
            env.record("cannot-run", cause="too long")
            return CANNOT_RUN
        except OSError as e:  # such as a missing program
            env.record("cannot-run", cause=e)
            return CANNOT_RUN
        finally:
            env.close()

    code = asyncio.run(run())
    sys.exit(code)
