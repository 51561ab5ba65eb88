"""A small deployment on loopback: a store, endpoints and clients that follow
the users' pages, and the project's nodes as separate processes.

All of it runs in one asyncio loop beside the nodes. Whatever is sent, answered
and run goes into a record, from which each case judges its rule.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target", "bin", "redwingwind-node")
HOST = "shop.example"

BOUNDS = {
    "grace_s": "6", "retry_budget_ratio": "0.2", "budget_window_s": "10",
    "budget_slack": "47",
}


class CannotRun(Exception):
    """The case can't be played here."""


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.started = now()
        self.file = open(path, "w", encoding="utf-8")

    def say(self, what, **fields):
        line = f"{now() - self.started:9.3f} {what}"
        for key, value in fields.items():
            line += f" {key}={value}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


# HTTP/1.1 --------------------------------------------------------------------

async def read_message(reader):
    """The first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
        else:
            body = await reader.readexactly(
                int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return lines[0], headers, body


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response_bytes(status, headers, body):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def request_bytes(method, path, headers, body=b""):
    head = f"{method} {path} HTTP/1.1\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if body or method in ("POST", "PUT"):
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


async def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """One request on a connection of its own: (status, headers, body), with
    status 0 when there was no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_bytes(method, path,
                                       [("Host", HOST), *headers], body))
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                return 0, {}, b""
            return int(answer[0].split(" ")[1]), answer[1], answer[2]
    except (TimeoutError, ConnectionError, OSError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


# The platform's store --------------------------------------------------------

class Store:
    """Objects by kind and name, one revision counter, watches."""

    def __init__(self, lag_s=0.0):
        # Calls with serializable=1 see what the store held this long ago.
        self.lag_s = lag_s
        # Numbers of the machines whose latest watch asked for fresh data.
        self.fresh_watchers = set()
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self, machines):
        """Each machine reaches the store at an address of its own, so that
        the store can tell them apart."""
        self.servers = []
        for machine in machines:
            async def serve(reader, writer, number=machine.number):
                await self.serve(reader, writer, number)
            self.servers.append(await asyncio.start_server(
                serve, *machine.store))

    def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, json.loads(json.dumps(item)),
                             deleted, now()))
        self.wake()
        if self.lag_s > 0:
            asyncio.get_running_loop().call_later(self.lag_s + 0.01, self.wake)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def seen(self, query):
        """What a call may see: all of it, or what was there lag_s ago."""
        until = now()
        if query.get("serializable") == "1":
            until -= self.lag_s
        return [it for it in self.history if it[4] <= until]

    def put(self, kind, name, spec):
        """As the operator or the system writes; returns the object."""
        items = self.objects.setdefault(kind, {})
        known = items.get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        item = known or {"metadata": {"name": name, "finalizers": [],
                                      "created": self.revision,
                                      "deleting": False}, "status": {}}
        item["spec"] = spec
        item["metadata"]["revision"] = self.revision
        items[name] = item
        self.note(kind, item, False)
        return item

    async def serve(self, reader, writer, machine):
        try:
            while True:
                asked = await read_message(reader)
                if asked is None:
                    break
                status, answer = await self.answer(asked, machine)
                writer.write(response_bytes(
                    status, [("Content-Type", "application/json")],
                    json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, asked, machine):
        method, target, _ = asked[0].split(" ")
        path, _, query = target.partition("?")
        query = dict(it.partition("=")[::2] for it in query.split("&") if it)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else ""
        items = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            self.fresh_watchers.discard(machine)
            if query.get("serializable") != "1":
                self.fresh_watchers.add(machine)
            return await self.watch(kind, query)
        if method == "GET":
            then = {}
            at = 1
            for at, of, item, deleted, _ in self.seen(query):
                if of == kind:
                    then.pop(item["metadata"]["name"], None)
                    if not deleted:
                        then[item["metadata"]["name"]] = item
            if name:
                return (200, then[name]) if name in then else (404, {})
            return 200, {"items": [then[it] for it in sorted(then)],
                         "has_more": False, "at": at}
        said = json.loads(asked[2] or b"{}")
        about = said.get("metadata", {})
        if method == "POST":
            if about["name"] in items:
                return 409, items[about["name"]]
            return 201, self.put(kind, about["name"], said.get("spec", {}))
        if name not in items:
            return 404, {}
        wanted = about.get("revision") or query.get("revision")
        if wanted and int(wanted) != items[name]["metadata"]["revision"]:
            return 409, items[name]
        if method == "PUT":
            return 200, self.put(kind, name, said.get("spec", {}))
        if method == "DELETE":
            item = items.pop(name)
            self.revision += 1
            self.note(kind, item, True)
            return 200, item
        return 404, {}

    async def watch(self, kind, query):
        since = int(query["watch"])
        until = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            seen = self.seen(query)
            events = [{"object": item, "deleted": deleted}
                      for at, of, item, deleted, _ in seen
                      if of == kind and at > since]
            left = until - now()
            if events or left <= 0:
                at = seen[-1][0] if seen else 1
                return 200, {"events": events, "at": max(at, since)}
            waiting = self.changed
            try:
                await asyncio.wait_for(waiting.wait(), left)
            except TimeoutError:
                pass


def configuration(version, routes, limits=None):
    """routes: (name, prefix, kind, service, timeout_s, more)."""
    columns = ["name", "authority", "path_prefix", "kind", "timeout_s",
               "service", "target_latency_s", "priority", "max_attempts"]
    rows = []
    services = []
    for name, prefix, kind, service, timeout_s in routes:
        rows.append([name, HOST, prefix, kind, timeout_s, service, 1.2, 1, 3])
        if service not in services:
            services.append(service)
    return {"version": f"{version:08x}",
            "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "max_connections"],
                         "rows": [[it, 64] for it in services]},
            "limits": limits or {"max_header_bytes": 16384,
                                 "max_body_bytes": 1048576,
                                 "header_timeout_s": 10.0,
                                 "idle_timeout_s": 30.0}}


# Endpoints -------------------------------------------------------------------

class Endpoint:
    """An endpoint beside a node. It runs a request by waiting work_s."""

    def __init__(self, world, machine, service, name, slots=40, work_s=0.04):
        self.world = world
        self.machine = machine
        self.service = service
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beats = None
        self.runs = []
        self.writers = set()
        self.server = None
        self.hook = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.machine.app, reuse_address=True)

    async def end(self):
        """The process ends: connections break, nothing listens."""
        self.stop_beats()
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    def beat_body(self, state=None):
        self.sequence += 1
        return json.dumps({
            "service": self.service,
            "address": "%s:%d" % self.machine.app,
            "zone": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": state or self.state, "cold_remaining_s": 0,
            "sequence": self.sequence, "born": self.born}).encode()

    async def put(self, body, timeout=1.0):
        status, _, _ = await call(
            self.machine.control, "PUT", f"/instances/{self.name}",
            [("Content-Type", "application/json")], body, timeout)
        return status

    async def beat(self, state=None):
        status = await self.put(self.beat_body(state))
        self.world.record.say("beat", of=self.name, state=state or self.state,
                              sequence=self.sequence, answer=status)
        return status

    async def leave(self):
        status, _, _ = await call(self.machine.control, "DELETE",
                                  f"/instances/{self.name}", timeout=1.0)
        self.world.record.say("leaves", of=self.name, answer=status)
        return status

    def start_beats(self, every=1.5):
        async def go():
            while True:
                await self.beat()
                await asyncio.sleep(every)
        self.beats = asyncio.create_task(go())

    def stop_beats(self):
        if self.beats is not None:
            self.beats.cancel()
            self.beats = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                asked = await read_message(reader)
                if asked is None:
                    break
                if not await self.handle(asked, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, asked, writer):
        line, headers, body = asked
        method, target, _ = line.split(" ")
        request = headers.get("request-id", "")
        wanted = headers.get("expected-instance", self.name)
        if wanted != self.name:
            self.world.record.say("refused_421", id=request, at=self.name,
                                  expected=wanted)
            writer.write(response_bytes(421, [("Request-Id", request)], b""))
            await writer.drain()
            return True
        run = {"id": request, "at": self.name,
               "service": self.service, "time": now(),
               "method": method, "target": target, "body": body,
               "headers": headers, "end": None}
        self.runs.append(run)
        self.world.runs.append(run)
        self.world.record.say("run", id=request, at=self.name, method=method,
                              target=target, bytes=len(body))
        if self.hook is not None:
            return await self.hook(self, run, writer)
        await asyncio.sleep(self.work_s)
        await self.answer(run, writer)
        return True

    async def answer(self, run, writer, status=200, more=()):
        run["end"] = now()
        text = f"done {run['id']} by {self.name}\n".encode()
        writer.write(response_bytes(
            status, [("Request-Id", run["id"]),
                     ("Response-Seal", f"seal.{run['id']}"), *more], text))
        await writer.drain()


# Machines and their nodes ----------------------------------------------------

class Machine:
    def __init__(self, world, number, service, zone):
        self.world = world
        self.number = number
        self.name = f"sidecar-{number}"
        self.ip = f"127.0.{world.net}.{10 + number}"
        self.service = service
        self.zone = zone
        ports = world.ports
        self.inbound = (self.ip, ports[0])
        self.app = (self.ip, ports[1])
        self.readiness = (self.ip, ports[2])
        self.outbound = (self.ip, ports[3])
        self.control = (self.ip, ports[4])
        self.peer_port = ports[5]
        self.metrics_port = ports[6]
        self.store = (f"127.0.{world.net}.{100 + number}", ports[0])
        self.process = None
        self.starts = 0

    def settings(self):
        return {
            "node": self.name, "ip": self.ip, "zone": self.zone,
            "region": "region-1", "service": self.service,
            "app_addr": "%s:%d" % self.app, "heartbeat_s": "1.5",
            "port_range.0": str(self.peer_port),
            "port_range.1": str(self.metrics_port),
            "listen.outbound": "%s:%d" % self.outbound,
            "listen.readiness": "%s:%d" % self.readiness,
            "listen.control": "%s:%d" % self.control,
            "platform.address": "%s:%d" % self.store,
            "limits.memory_mb": "260", "limits.max_fds": "4100",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }

    def start(self):
        """As the deploy file does: the template of the settings, filled in."""
        with open(os.path.join(ROOT, "deploy", "node.flags"),
                  encoding="utf-8") as file:
            text = file.read()
        values = self.settings()
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}",
                      lambda it: values.get(it.group(1), ""), text)
        path = os.path.join(self.world.folder, self.name + ".flags")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.starts += 1
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [NODE, "--flagfile=" + path], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.world.record.say("node_starts", node=self.name)

    def signal(self, which):
        self.world.record.say("signal", node=self.name, which=which.name)
        self.process.send_signal(which)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        return (await call(self.readiness, "GET", "/readiness",
                           timeout=0.5))[0] == 200


class World:
    """services: the service of each machine, in order."""

    def __init__(self, folder, services, zones=3, store_lag_s=0.0):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = random.SystemRandom().randint(2, 250)
        self.ports = self.free_ports(len(services))
        self.store = Store(store_lag_s)
        self.runs = []
        self.machines = [Machine(self, n, service, f"zone-{n % zones}")
                         for n, service in enumerate(services)]
        self.endpoints = []
        self.next_request = 0
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"

    def free_ports(self, machines):
        """Seven ports that are free on all machines, as ports are the same on
        all machines of a day."""
        found = []
        for _ in range(2000):
            port = random.SystemRandom().randint(20000, 32000)
            if port in found or not self.is_free(port, machines):
                continue
            found.append(port)
            if len(found) == 7:
                return found
        raise CannotRun("no free ports")

    def is_free(self, port, machines):
        for ip in [at + n for n in range(machines) for at in (10, 100)]:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as it:
                    try:
                        it.bind((f"127.0.{self.net}.{ip}", port))
                    except OSError:
                        return False
        return True

    async def start(self, routes, only=None, hook=None, **endpoint):
        """The store, the first configuration, and the machines (the first
        `only` of them); returns when all of them serve."""
        if not os.path.exists(NODE):
            raise CannotRun("the node isn't built: " + NODE)
        await self.store.start(self.machines)
        self.store.put("config", "main", configuration(12, routes))
        machines = self.machines[:only]
        for machine in machines:
            machine.start()
        await self.wait_ready(machines)
        for machine in machines:
            await self.start_machine(machine, hook, **endpoint)
        await asyncio.sleep(3.0)

    async def start_machine(self, machine, hook=None, **endpoint):
        """The node, if it doesn't run, and its endpoint with its beats."""
        if machine.process is None:
            machine.start()
        it = Endpoint(self, machine, machine.service,
                      f"i-{machine.number:08x}", **endpoint)
        it.hook = hook
        self.endpoints.append(it)
        await it.start()
        it.start_beats()

    def endpoint_of(self, machine):
        return next(it for it in self.endpoints if it.machine is machine)

    async def wait_ready(self, machines=None, limit=15.0):
        until = now() + limit
        while now() < until:
            states = [await it.is_ready()
                      for it in machines or self.machines]
            if all(states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes don't become ready")

    def request_id(self):
        self.next_request += 1
        return f"{self.next_request:08x}{random.getrandbits(32):08x}"

    async def send(self, machine, path, method="POST", body=b"",
                   deadline_ms=5000, timeout=None, headers=()):
        """One attempt of a client, on a connection of its own."""
        request = self.request_id()
        sent = now()
        self.record.say("sent", id=request, to=machine.name, method=method,
                        path=path)
        status, told, text = await call(
            machine.outbound, method, path,
            [("Request-Id", request), ("Request-Deadline", str(deadline_ms)),
             *headers], body, timeout or deadline_ms / 1000 + 1)
        self.record.say("answered", id=request, status=status,
                        seal=told.get("response-seal", "-"))
        return {"id": request, "sent": sent, "ended": now(), "status": status,
                "headers": told, "body": text, "to": machine.name}

    def runs_of(self, request):
        return [it for it in self.runs if it["id"] == request]

    async def end(self):
        for it in self.endpoints:
            it.stop_beats()
        for it in self.machines:
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(folder, case, services, limit=112.0, **more):
    """Plays a case and exits with its result. `case` takes the world and
    returns a text that tells how the rule was broken, or None."""
    async def go():
        # Tasks of connections that end with the loop are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        world = World(folder, services, **more)
        try:
            async with asyncio.timeout(limit):
                broken = await case(world)
            world.record.say("result", broken=broken or "no")
            print(broken or "the rule held")
            return 1 if broken else 0
        except (CannotRun, TimeoutError) as why:
            world.record.say("could_not_run", why=repr(why))
            print("could not run:", repr(why))
            return 2
        finally:
            await world.end()
    raise SystemExit(asyncio.run(go()))
