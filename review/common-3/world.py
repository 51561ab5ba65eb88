"""A small deployment on loopback addresses, for the cases 11 to 15.

The nodes are the project's own program, started with the command and the
settings template of the deploy file. The platform's store, the endpoints and
the clients are stand-ins of this file; they do what PROTOCOL.md says and no
more. Each machine has an address of its own in 127.0.0.0/8, and the ports are
the same on all machines.
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
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2


def deploy_file():
    """The command and the settings template of the role, from the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as f:
        text = f.read()
    command = re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()
    template = re.search(r'^template = "([^"]+)"', text, re.M).group(1)
    with open(os.path.join(ROOT, template), encoding="utf-8") as f:
        return command, f.read()


def free_ports(count):
    """Ports that are free at this moment."""
    for _ in range(200):
        base = random.randrange(20000, 30000)
        held = []
        try:
            for port in range(base, base + count):
                s = socket.socket()
                held.append(s)
                s.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise RuntimeError("no free ports")


async def read_message(reader):
    """A request or a response: its first line, its fields and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], fields, body


class Store:
    """The platform's store: objects by kind and name, and watches. Calls with
    serializable=1 get what the store held lag_s before."""

    def __init__(self):
        self.lag_s = 0.0
        self.heard = {}
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.is_down = False

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        asked_at = writer.get_extra_info("sockname")[0]
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                if "watch=" in target:
                    self.heard[asked_at] = target
                status, answer = await self.answer(method, target, body)
                if self.is_down:
                    status, answer = 503, None
                text = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        asked = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        parts = path.strip("/").split("/")[1:]
        kind = self.objects.setdefault(parts[0], {})
        if method == "GET" and len(parts) > 1:
            found = kind.get(parts[1])
            return (200, found) if found else (404, None)
        if method == "GET" and "watch" in asked:
            return await self.watch(
                parts[0], int(asked["watch"]),
                int(asked.get("wait_ms", "0")) / 1000,
                self.lag_s if asked.get("serializable") == "1" else 0.0)
        if method == "GET":
            return 200, {"items": list(kind.values()), "has_more": False,
                         "at": self.revision}
        told = json.loads(body) if body else {}
        if method == "DELETE":
            if parts[1] not in kind:
                return 404, None
            return 200, self.note(parts[0], kind.pop(parts[1]), True)
        name = parts[1] if len(parts) > 1 else told["metadata"]["name"]
        if method == "POST" and name in kind:
            return 409, kind[name]
        if method == "PUT" and name not in kind:
            return 404, None
        return (201 if method == "POST" else 200), self.put(
            parts[0], name, told.get("spec"))

    def put(self, kind, name, spec):
        it = {"metadata": {"name": name, "revision": self.revision + 1,
                           "created": 1, "finalizers": [], "deleting": False},
              "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = it
        return self.note(kind, it, False)

    def note(self, kind, it, deleted):
        self.revision += 1
        self.history.append((self.revision, kind,
                             {"deleted": deleted, "object": it},
                             time.monotonic()))
        self.changed.set()
        self.changed = asyncio.Event()
        return it

    async def watch(self, kind, since, wait, lag):
        end = time.monotonic() + wait
        while True:
            now = time.monotonic()
            news = [(r, e, at + lag) for r, k, e, at in self.history
                    if k == kind and r > since]
            events = [e for _, e, visible in news if visible <= now]
            if events or now >= end:
                at = max([r for r, _, visible in news if visible <= now],
                         default=since) if lag else self.revision
                return 200, {"events": events, "at": at}
            next_due = min([end] + [visible for _, _, visible in news])
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.001, next_due - now))
            except asyncio.TimeoutError:
                pass


class Machine:
    def __init__(self, world, name, ip, zone, service, memory_mb):
        self.world = world
        self.name, self.ip, self.zone = name, ip, zone
        self.service, self.memory_mb = service, memory_mb
        self.process = None
        self.lives = 0
        # The store's address for this machine, where it has one of its own.
        self.store_ip = None

    def address(self, what):
        return self.ip, self.world.ports[what]

    def fields(self):
        w = self.world
        at = {k: "%s:%d" % self.address(k) for k in w.ports}
        return {
            "node": self.name, "ip": self.ip, "region": "r", "zone": self.zone,
            "service": self.service, "app_addr": at["app"],
            "port_range.0": str(w.ports["peer"]),
            "port_range.1": str(w.ports["metrics"]),
            "listen.outbound": at["outbound"],
            "listen.readiness": at["readiness"],
            "listen.control": at["control"],
            "platform.address": "%s:%d" % (self.store_ip or w.store_address[0],
                                           w.store_address[1]),
            "heartbeat_s": str(w.bounds["heartbeat_s"]),
            "limits.memory_mb": str(self.memory_mb), "limits.max_fds": "4100",
            **{"bounds." + k: str(v) for k, v in w.bounds.items()}}

    def start(self):
        w = self.world
        self.lives += 1
        fields = self.fields()
        text = re.sub(r"\{\{([^}]+)\}\}",
                      lambda m: fields.get(m.group(1), ""), w.template)
        path = os.path.join(w.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        command = [path if a.endswith("settings.conf") and "=" not in a else
                   a.replace("/etc/redwingwind/settings.conf", path)
                   for a in w.command]
        log = open(os.path.join(w.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": w.folder,
                 "LANG": "C.UTF-8", "REDWINGWIND_BOOT": path})
        log.close()
        w.processes.append(self.process)
        w.record("start", self.name, "pid", self.process.pid)

    def kill(self):
        self.world.record("SIGKILL", self.name)
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.world.record("SIGTERM", self.name)
        self.process.terminate()

    def rss_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except (OSError, IndexError):
            return 0.0


class Endpoint:
    """An endpoint beside a node. work(fields, path, body) gives the seconds that
    a request takes; it is dropped when its connection closes."""

    def __init__(self, machine, ident, slots=100, work=lambda *a: 0.0):
        self.machine, self.ident, self.slots, self.work = (
            machine, ident, slots, work)
        self.world = machine.world
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.is_silent = False
        self.beat_task = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.machine.address("app"), limit=1 << 20)
        self.beat_task = asyncio.ensure_future(self.beats())

    async def stop(self):
        """Ends as a crashed process does."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def beats(self):
        while True:
            await self.beat("ready")
            await asyncio.sleep(self.world.bounds["heartbeat_s"])

    def body(self, state):
        self.sequence += 1
        return {"service": self.machine.service,
                "address": "%s:%d" % self.machine.address("app"),
                "zone": self.machine.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_remaining_s": 0,
                "sequence": self.sequence, "born": self.born}

    async def say(self, method, body=None):
        text = json.dumps(body).encode() if body else b""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.machine.address("control")), 1)
            writer.write(
                b"%s /instances/%s HTTP/1.1\r\nHost: control\r\n"
                b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                % (method.encode(), self.ident.encode(), len(text)) + text)
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def beat(self, state):
        return await self.say("PUT", self.body(state))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                ident = fields.get("request-id", "")
                if fields.get("expected-instance", self.ident) != self.ident:
                    writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n"
                                 b"Request-Id: %s\r\n\r\n" % ident.encode())
                    continue
                at = self.world.now()
                self.runs.append((at, ident, method, target))
                self.world.record("run", self.machine.name, self.ident, ident,
                                  method, target, len(body), "bytes")
                took = self.work(fields, target, body)
                if took:
                    # The rest of the connection tells that the caller left.
                    gone = asyncio.ensure_future(reader.read(1))
                    done, _ = await asyncio.wait({gone}, timeout=took)
                    if done and not gone.result():
                        self.world.record("dropped", self.machine.name, ident)
                        return
                    gone.cancel()
                    try:
                        await gone
                    except asyncio.CancelledError:
                        pass
                text = b"done " + ident.encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s.%s\r\n"
                    b"Content-Length: %d\r\n\r\n" % (ident.encode(), ident.encode(), len(text))
                    + text)
                await writer.drain()
                self.world.record("ran", self.machine.name, ident)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """A client's connection to the node on its machine."""

    def __init__(self, machine):
        self.machine, self.world = machine, machine.world
        self.reader = self.writer = None
        self.served = 0

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.machine.address("outbound")), 1)

    async def request(self, method, path, ident, deadline_s, body=b"",
                      fields=()):
        """The status, or None for a connection that ended without an answer."""
        w = self.world
        try:
            if self.writer is None:
                await self.open()
            head = ("%s %s HTTP/1.1\r\nHost: day.example\r\nRequest-Id: %s\r\n"
                    "Request-Deadline: %d\r\n" %
                    (method, path, ident, deadline_s * 1000))
            for name, value in fields:
                head += "%s: %s\r\n" % (name, value)
            if body or method != "GET":
                head += "Content-Length: %d\r\n" % len(body)
            w.record("send", self.machine.name, ident, method, path,
                     len(body), "bytes")
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            line, told, text = await asyncio.wait_for(
                read_message(self.reader), deadline_s + 3)
            status = int(line.split()[1])
            self.served += 1
            if told.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            self.close()
            status, text = None, type(e).__name__.encode()
        w.record("answer", self.machine.name, ident, status,
                 text[:40].decode("latin-1"))
        return status

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class World:
    BOUNDS = {"heartbeat_s": 1.5, "grace_s": 6, "retry_budget_ratio": 0.2,
              "budget_window_s": 10, "budget_slack": 47, "drain_s": 2,
              "stability_window_s": 3, "config_apply_s": 2, "recovery_s": 15}

    def __init__(self, case_folder, **bounds):
        self.bounds = {**self.BOUNDS, **bounds}
        self.command, self.template = deploy_file()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.file = open(os.path.join(case_folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()
        self.processes = []
        self.machines = {}
        names = ["app", "outbound", "readiness", "control", "peer", "metrics",
                 "store"]
        base = free_ports(len(names))
        self.ports = {n: base + i for i, n in enumerate(names)}
        self.store_address = ("127.0.0.1", self.ports.pop("store"))
        self.version = 0
        self.net = random.randrange(1, 250)

    def now(self):
        return time.monotonic() - self.began

    def record(self, *what):
        self.file.write("%8.3f %s\n" % (self.now(), " ".join(map(str, what))))

    async def start_store(self):
        self.store = Store()
        await self.store.start(*self.store_address)

    def add(self, name, zone, service, memory_mb=260):
        ip = "127.%d.0.%d" % (self.net, len(self.machines) + 2)
        it = Machine(self, name, ip, zone, service, memory_mb)
        self.machines[name] = it
        return it

    def configure(self, routes, services, tenants=None):
        """routes: (path prefix, kind, timeout_s, target_latency_s, service)."""
        self.version += 3
        spec = {
            "version": "%08x" % self.version,
            "routes": {
                "columns": ["name", "authority", "path_prefix", "kind",
                            "timeout_s", "target_latency_s", "priority",
                            "weighted_services", "max_attempts", "service"],
                "rows": [["r" + p.strip("/"), "day.example", p, k, t, l, 0,
                          None, 2, s] for p, k, t, l, s in routes]},
            "services": {
                "columns": ["name", "health_path", "max_connections",
                            "protocol", "tls"],
                "rows": [[s, "/health", 2158, "h1", False] for s in services]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_s": 3, "idle_timeout_s": 15}}
        if tenants:
            spec["tenants"] = {
                "columns": ["name", "api_keys", "rate_per_s", "burst"],
                "rows": tenants}
        self.store.put("config", "main", spec)
        self.record("config", spec["version"], "acknowledged")

    async def is_ready(self, machine):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*machine.address("readiness")), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split()[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, machines, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all([await self.is_ready(m) for m in machines]):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for p in self.processes:
            if p.poll() is None:
                p.kill()
            p.wait()
        self.file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case_folder, day, **bounds):
    """Plays the day and exits with its result; nothing stays behind."""
    world = World(case_folder, **bounds)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    result, why = NOT_RUN, "did not run"
    loop = asyncio.new_event_loop()
    try:
        result, why = loop.run_until_complete(
            asyncio.wait_for(day(world, trouble), 115))
    except (KeyboardInterrupt, Exception) as e:  # noqa: the case could not run
        why = "could not run: %r" % e
    finally:
        text = {HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[result]
        world.record("result", text, why)
        print(text, why)
        world.close()
    # Open connections of the stand-ins end with the process.
    sys.stdout.flush()
    os._exit(result)
