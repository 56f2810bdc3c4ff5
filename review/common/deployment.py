"""A small deployment on loopback addresses for the review's scripts: the platform's store, replicas and
consumers as stand-ins in this process, and the daemon as separate processes, started with the command
and the settings template of the deploy file."""

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
ROUTE_HOST = "mill.example"
KEY = "key-of-the-mill"
ZONE = "edirne-a"
REGION = "trakya"
# Bounds of the sheet of karacay-tickets.
BOUNDS = {"drain-ms": 2000, "grace-s": 8, "config-ms": 2000, "budget-ratio": 0.2, "retry-slack": 52,
          "budget-window-s": 10, "contact-ms": 3000, "loss-slack-ms": 200}
MEMORY_MB = 260
CPU_SHARE = 0.25

PASS, BROKEN, NO_RUN = 0, 1, 2


def deploy_command():
    """The program and its arguments, as the deploy file gives them."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split(" ")


class Record:
    """What was sent, answered and run, with the time since the start; ends up in record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.started = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append("%8.3f  %s" % (time.monotonic() - self.started, text))

    def save(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    @property
    def id(self):
        return self.header("X-Request-Id", "-")


async def read_head(reader):
    """First line and headers of a message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = int(headers.get("content-length", "0") or "0")
    return await reader.readexactly(length) if length else b""


class Server:
    """An HTTP/1.1 server at one address; one request at a time on a channel."""

    def __init__(self, address):
        self.ip, port = address.split(":")
        self.port = int(port)
        self.writers = set()
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)

    def stop_listening(self):
        if self.listener:
            self.listener.close()
            self.listener = None

    def end(self):
        """Ends as a process does that is killed: its channels are reset, new ones refused."""
        self.stop_listening()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                parts = head[0].split(" ")
                if len(parts) != 3 or not parts[0].isalpha() or not parts[1].startswith("/"):
                    writer.write(b"HTTP/1.1 400 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    return
                request = Request(parts[0], parts[1], head[1], await read_body(reader, head[1]))
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: listings and watches."""

    def __init__(self, address):
        super().__init__(address)
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.is_silent = False  # Reads calls and answers none.

    def put(self, key, value):
        self.revision += 1
        text = json.dumps(value).encode()
        item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                "created": self.revision, "lease": 0}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def cut(self):
        """Cuts the daemons off: their calls get no answer any more, new channels hang. The replicas and
        the operator still reach the store."""
        self.is_silent = True

    async def heal(self):
        self.is_silent = False

    async def handle(self, request, reader, writer):
        path, _, query = request.target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        if self.is_silent:
            return await self.hang()
        if path == "/kv-range":
            after = fields.get("after", "")
            items = [self.items[key] for key in sorted(self.items) if key > after]
            return await self.reply(writer, 200, {"items": items, "has-more": False, "at": self.revision})
        if path != "/kv-watch":
            return await self.reply(writer, 404, {})
        after = int(fields.get("after", "0"))
        until = time.monotonic() + int(fields.get("wait-ms", "0")) / 1000
        while True:
            if self.is_silent:
                return await self.hang()
            events = [event for event in self.history if event["revision"] > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return await self.reply(writer, 200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def hang(self):
        await asyncio.sleep(3600)

    async def reply(self, writer, status, body):
        text = json.dumps(body).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                     % (status, len(text)) + text)
        await writer.drain()
        return True


class Replica(Server):
    """A sound replica. Calls take `work_s` and are answered whole; streams have `events` events."""

    def __init__(self, site, instance, service, address, slots=8):
        super().__init__(address)
        self.site, self.instance, self.service, self.slots = site, instance, service, slots
        self.born = int(time.time() * 1000)
        self.work_s = 0.015
        self.events, self.event_s = 20, 0.02
        self.is_leaving = False
        self.runs = []
        self.running = 0

    def announce(self, state="ready"):
        self.site.store.put("servers/" + self.instance, {
            "service": self.service, "addr": "%s:%d" % (self.ip, self.port), "zone": ZONE, "version": 1,
            "slots": self.slots, "state": state, "cold-left-ms": 0, "sequence": 1, "born": self.born})

    def head(self, request, status, headers):
        lines = ["HTTP/1.1 %d X" % status, "X-Request-Id: " + request.id,
                 "X-Server-Stamp: stamp-" + self.instance]
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        return "\r\n".join(lines + headers).encode() + b"\r\n\r\n"

    def note(self, request, text):
        self.site.record.add("replica %s: request %s %s" % (self.instance, request.id, text))

    async def handle(self, request, reader, writer):
        if request.target == "/health":
            writer.write(b"HTTP/1.1 %d X\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                         % (503 if self.is_leaving else 200, self.instance.encode()))
            await writer.drain()
            return True
        if request.header("X-Expect-Instance", self.instance) != self.instance:
            writer.write(self.head(request, 421, ["X-Not-Executed: 1", "Content-Length: 0"]))
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self.run(request, reader, writer)
        finally:
            self.running -= 1

    def begin(self, request):
        """The run begins: from here on the request counts as run."""
        self.runs.append((time.monotonic(), request))
        self.note(request, "runs" + (" from event %s" % request.header("Last-Event-Id")
                                     if request.header("Last-Event-Id") else ""))

    async def run(self, request, reader, writer):
        self.begin(request)
        if "/stream" in request.target:
            return await self.stream(request, writer)
        await asyncio.sleep(self.work_s)
        body = ("answer to %s by %s" % (request.id, self.instance)).encode()
        if request.method == "HEAD":
            writer.write(self.head(request, 200, ["Content-Length: %d" % len(body)]))
        else:
            writer.write(self.head(request, 200, ["Content-Length: %d" % len(body)]) + body)
        await writer.drain()
        return True

    async def stream(self, request, writer):
        writer.write(self.head(request, 200, ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
        for number in range(int(request.header("Last-Event-Id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            await self.send_chunk(writer, self.event(number))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def event(self, number):
        return b"id: %d\ndata: %s\n\n" % (number, self.instance.encode())

    async def send_chunk(self, writer, text):
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        await writer.drain()


class Answer:
    """What a consumer saw: status 0 if the channel ended before a whole answer."""

    def __init__(self, status=0, headers=None, body=b"", fault="", hasBegun=True):
        self.status, self.headers, self.body, self.fault = status, headers or {}, body, fault
        self.hasBegun = hasBegun  # Its head arrived.

    def __str__(self):
        return "%d%s" % (self.status, " (%s)" % self.fault if self.fault else "")


class Consumer:
    """A consumer's channel to one daemon, kept for many requests."""

    def __init__(self, site, address):
        self.site = site
        self.address = address
        self.reader = self.writer = None
        self.hasBegun = False  # The head of the answer has arrived.

    async def call(self, method, target, id, headers=(), body=b"", timeout_ms=1500, key=KEY):
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + ROUTE_HOST, "X-Request-Id: " + id,
                 "X-Timeout-Ms: %d" % timeout_ms, "Authorization: Bearer " + key, *headers]
        if method in ("POST", "PUT", "PATCH"):
            lines.append("Content-Length: %d" % len(body))
        self.site.record.add("consumer: request %s sent, %s %s" % (id, method, target))
        try:
            answer = await asyncio.wait_for(self.exchange(method, "\r\n".join(lines).encode() + b"\r\n\r\n" + body),
                                            timeout_ms / 1000 + 1.5)
        except asyncio.TimeoutError:
            answer = Answer(0, fault="no answer in time", hasBegun=self.hasBegun)
        except (ConnectionError, asyncio.IncompleteReadError) as fault:
            answer = Answer(0, fault="channel ended: " + type(fault).__name__, hasBegun=self.hasBegun)
        if answer.status == 0 or answer.headers.get("connection", "").lower() == "close":
            self.close()
        self.site.record.add("consumer: request %s got %s" % (id, answer))
        return answer

    async def exchange(self, method, bytes_):
        self.hasBegun = False
        if not self.writer:
            ip, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.writer.write(bytes_)
        await self.writer.drain()
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionResetError()
        self.hasBegun = True
        status = int(head[0].split(" ")[1])
        body = b"" if method == "HEAD" else await read_body(self.reader, head[1])
        return Answer(status, head[1], body)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Site:
    def __init__(self, folder, hosts=2, routes=None):
        self.routes = routes
        self.record = Record(folder)
        self.directory = tempfile.mkdtemp(prefix="currantreel-review-")
        self.net = "127.%d.%d" % (random.randint(20, 219), random.randint(1, 250))
        self.store = Store(self.net + ".250:8742")
        self.replicas = {}
        self.hosts = ["front-edirne-a-%d" % number for number in range(1, hosts + 1)]
        self.processes = {}
        self.ended = {}  # Exit status of processes that were not ended by this script.
        self.stopping = set()

    def ip(self, host):
        return "%s.%d" % (self.net, 10 + int(host.rsplit("-", 1)[1]))

    def front(self, host):
        return self.ip(host) + ":8740"

    def add_replica(self, kind, instance, service, number, **fields):
        self.replicas[instance] = kind(self, instance, service, "%s.%d:8729" % (self.net, 100 + number), **fields)
        return self.replicas[instance]

    def configuration(self):
        self.store.put("op/config", {
            "version": 7,
            "routes": self.routes or [
                {"name": "gate-query", "host": ROUTE_HOST, "path-prefix": "/gate/stream/", "kind": "streaming",
                 "timeout-ms": 15000, "slo-ms": 300, "priority": 0, "service": "pool", "max-attempts": 2,
                 "no-auth": False, "affinity": True, "stream-resume": True, "gap-target-ms": 200},
                {"name": "lot-summary", "host": ROUTE_HOST, "path-prefix": "/lot/stream/", "kind": "streaming",
                 "timeout-ms": 5000, "slo-ms": 500, "priority": 1, "service": "pool", "max-attempts": 1,
                 "no-auth": False, "affinity": True, "stream-resume": False, "gap-target-ms": 300},
                {"name": "payment-post", "host": ROUTE_HOST, "path-prefix": "/payments/", "kind": "non_idempotent",
                 "timeout-ms": 800, "slo-ms": 100, "priority": 2, "service": "kantar", "max-attempts": 1,
                 "no-auth": False},
                {"name": "ticket-lookup", "host": ROUTE_HOST, "path-prefix": "/tickets/", "kind": "idempotent",
                 "timeout-ms": 800, "slo-ms": 100, "priority": 2, "service": "kantar", "max-attempts": 2,
                 "no-auth": False}],
            "services": [
                {"name": "pool", "health-path": "/health", "max-conns": 360,
                 "engine": {"slots": 64, "kv-capacity": 456957, "stride": 4}},
                {"name": "kantar", "health-path": "/health", "max-conns": 96}],
            "limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "kesan", "api-keys": [KEY]}]})

    def write_settings(self, host):
        """Fills in the template of the deploy file, as the platform does."""
        values = {"node": host, "zone": ZONE, "region": REGION, "listen.front": self.ip(host) + ":8740",
                  "listen.ready": self.ip(host) + ":8749", "listen.control": self.ip(host) + ":8748",
                  "platform.addr": "%s:%d" % (self.store.ip, self.store.port), "limits.cpu-share": CPU_SHARE,
                  "seeds|json": json.dumps([self.ip(host) + ":8748" for host in self.hosts[:3]])}
        values.update({"bounds." + name: value for name, value in BOUNDS.items()})
        with open(os.path.join(ROOT, "deploy", "host.toml.in"), encoding="utf-8") as file:
            text = re.sub(r"{{([^}]+)}}", lambda match: str(values[match.group(1)]), file.read())
        path = os.path.join(self.directory, host + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start_host(self, host):
        command = deploy_command()
        program = os.environ.get("CURRANTREELD", command[0])
        settings = self.write_settings(host)
        arguments = [re.sub(r"=.*", "=" + settings, word) for word in command[1:]]
        with open(os.path.join(self.directory, host + ".log"), "ab") as log:
            self.processes[host] = subprocess.Popen([program, *arguments], cwd=ROOT, stdout=log, stderr=log,
                                                    stdin=subprocess.DEVNULL)
        self.record.add("platform: %s starts" % host)

    def log(self, host):
        with open(os.path.join(self.directory, host + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, host, number):
        self.record.add("platform: %s gets signal %s" % (host, signal.Signals(number).name))
        self.processes[host].send_signal(number)

    async def is_ready(self, host):
        try:
            reader, writer = await asyncio.open_connection(self.ip(host), 8749)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def start(self):
        await self.store.start()
        for replica in self.replicas.values():
            await replica.start()
            replica.announce()
        self.configuration()
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            for _ in range(100):
                if await self.is_ready(host):
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError("%s isn't ready" % host)
        # The traffic starts 10 s after the machines do.
        await asyncio.sleep(float(os.environ.get("LEAD_S", "5")))

    def memory_mb(self, host):
        """Resident memory of the host's process, as the platform accounts it; 0 once it has ended."""
        try:
            with open("/proc/%d/status" % self.processes[host].pid, encoding="utf-8") as file:
                match = re.search(r"VmRSS:\s+(\d+)", file.read())
                return int(match.group(1)) / 1024 if match else 0
        except OSError:
            return 0

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for server in [self.store, *self.replicas.values()]:
            server.end()
        if os.environ.get("KEEP"):
            print("kept:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, play, hosts=2, routes=None):
    """Runs `play(site, hasTrouble)`, which returns PASS or BROKEN; exits with the result."""
    site = Site(folder, hosts, routes)
    hasTrouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        return await asyncio.wait_for(play(site, hasTrouble), 110)

    result = NO_RUN
    try:
        result = asyncio.run(run())
    except BaseException as fault:  # The case could not run.
        site.record.add("the case could not run: %s %s" % (type(fault).__name__, fault))
        print("could not run:", type(fault).__name__, fault, file=sys.stderr)
    finally:
        site.stop()
        site.record.add("result: " + {PASS: "the rule held", BROKEN: "the rule was broken"}.get(result, "not run"))
        site.record.save()
    print(site.record.lines[-1].strip())
    sys.exit(result)
