"""A small deployment on loopback for the cases of the second review.

The daemons are the project's own, started with the command and the template of the deploy file. The
store of the platform, the replicas and the consumers are small stand-ins in this process. They follow
PROTOCOL.md, and where it is silent they behave like sound ones.
"""

import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# Of play.py; run.sh exits with 1 for EXIT_BROKEN only, so that an error of Python itself shows nothing.
EXIT_HELD, EXIT_NOT_RUN, EXIT_BROKEN = 0, 2, 11
TIME_LIMIT_S = 100
MEBIBYTE = 1024 * 1024


def tell(text):
    """Prints a line; the verdict doesn't depend on whether somebody reads it."""
    try:
        print(text, flush=True)
    except OSError:
        sys.stdout = open(os.devnull, "w", encoding="utf-8")


class NotRun(Exception):
    """The case could not be set up, so it tells nothing."""


# The settings file, as DEPLOY.md fills in a template.

def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def fill_in(template, scopes):
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def expand(match):
        value = look_up(match[2], scopes)
        if match[1] == "^":
            return fill_in(match[3], scopes) if value is None or value is False else ""
        if value is None or value is False:
            return ""
        entries = value if isinstance(value, list) else [value]
        return "".join(fill_in(match[3], scopes + [entry]) for entry in entries)

    def place(match):
        name, _, form = match[1].partition("|")
        value = look_up(name, scopes)
        return json.dumps(value) if form == "json" else as_text(value)

    return re.sub(r"\{\{([^#^/}][^}]*)\}\}", place, section.sub(expand, template))


# HTTP/1.1, as much of it as the stand-ins need.

async def read_head(reader):
    """First line and headers of a message, or None at the end of the channel."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    headers = []
    while True:
        field = await reader.readline()
        if not field.endswith(b"\n"):
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))


def header(headers, name, default=""):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_body(reader, headers):
    if header(headers, "Transfer-Encoding").lower() != "chunked":
        return await reader.readexactly(int(header(headers, "Content-Length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % item for item in headers] + ["", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def serve(address, handle):
    """Serves connections at `address` until the server that is returned is closed."""
    async def connected(reader, writer):
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()
    ip, port = address.rsplit(":", 1)
    return await asyncio.start_server(connected, ip, int(port), limit=1 << 20, backlog=512)


class Store:
    """The platform's metadata store: listings and watches of published items."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await serve(self.address, self.handle)

    def write(self, key, document):
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": self.revision,
                           "lease": 0}
        self.notify(self.items[key])

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.notify({"key": key, "revision": self.revision, "tombstone": True})

    def notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            target = urllib.parse.urlsplit(head[0].split()[1])
            query = {name: values[0] for name, values in urllib.parse.parse_qs(target.query).items()}
            if target.path == "/kv-range":
                status, reply = 200, self.listing(query)
            elif target.path == "/kv-watch":
                status, reply = 200, await self.watch(query)
            else:
                status, reply = 404, {}
            body = json.dumps(reply).encode()
            writer.write(message("HTTP/1.1 %d -" % status, [("Content-Type", "application/json"),
                                                           ("Content-Length", len(body))], body))
            await writer.drain()

    def listing(self, query):
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {"items": [self.items[key] for key in keys[:500]], "has-more": len(keys) > 500, "at": self.revision}

    async def watch(self, query):
        after = int(query.get("after", "0"))
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [event for event in self.history if event["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica:
    """A replica of a service. It runs each request that names it, and records that.

    A request on a path below `events` is answered by a stream of as many events as its last part says,
    each `gap_s`, after `prefill_s`; all others after `work_s`.
    """

    def __init__(self, deployment, service, instance, address, zone, slots, gap_s, prefill_s):
        self.deployment = deployment
        self.service = service
        self.instance = instance
        self.address = address
        self.zone = zone
        self.slots = slots
        self.gap_s = gap_s
        self.prefill_s = prefill_s
        self.work_s = 0.0
        self.server = None
        self.writers = set()
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await serve(self.address, self.handle)

    def crash(self):
        """Ends the replica: its channels are reset and its address refuses new ones."""
        self.deployment.note("crash", replica=self.instance, channels=len(self.writers))
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state="ready"):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold-left-ms": 0, "sequence": 1, "born": self.born}

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, path, _ = head[0].split()
                headers = head[1]
                await read_body(reader, headers)
                await self.run(method, path, headers, writer)
        finally:
            self.writers.discard(writer)

    async def run(self, method, path, headers, writer):
        identifier = header(headers, "X-Request-Id")
        own = [("X-Request-Id", identifier), ("X-Server-Stamp", "%s.%s" % (self.instance, identifier))]
        expected = header(headers, "X-Expect-Instance")
        if expected and expected != self.instance:
            writer.write(message("HTTP/1.1 421 -", [("X-Request-Id", identifier), ("X-Not-Executed", "1"),
                                                    ("Content-Length", 0)]))
            return await writer.drain()
        self.deployment.note("run", request=identifier, service=self.service, replica=self.instance, path=path)
        self.deployment.runs.append((identifier, self.service, self.instance))
        if "/events/" not in path:
            await asyncio.sleep(self.work_s)
            body = ("%s of %s" % (identifier, self.instance)).encode()
            writer.write(message("HTTP/1.1 200 OK", own + [("Content-Length", len(body))], body))
            return await writer.drain()
        await asyncio.sleep(self.prefill_s)
        writer.write(message("HTTP/1.1 200 OK", own + [("Content-Type", "text/event-stream"),
                                                       ("Transfer-Encoding", "chunked")]))
        first = int(header(headers, "Last-Event-Id", "0")) + 1
        for number in range(first, int(path.rsplit("/", 1)[1]) + 1):
            writer.write(chunk(b"id: %d\ndata: piece %d\n\n" % (number, number)))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    """What a consumer got: the status, 0 if the channel ended without one, and whether it is complete."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b""
        self.is_complete = False
        self.begun = asyncio.Event()


def free_net():
    """The first three bytes of loopback addresses on which the ports used here are free."""
    for _ in range(20):
        net = "127.%d.%d" % (random.randint(20, 220), random.randint(1, 250))
        try:
            for ip, port in ((1, 8740), (1, 8748), (1, 8749), (101, 9400), (250, 9300)):
                with socket.socket() as probe:
                    probe.bind(("%s.%d" % (net, ip), port))
            return net
        except OSError:
            continue
    raise NotRun("no free ports")


class Host:
    """A machine with its daemon."""

    def __init__(self, name, ip, zone, cpu_share, memory_mb, max_fds):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.cpu_share = cpu_share
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.process = None
        self.front = ip + ":8740"
        self.ready = ip + ":8749"
        self.control = ip + ":8748"


class Deployment:
    """Store, replicas, daemons and consumers of one run."""

    def __init__(self, folder, zones=("zone-a",)):
        self.zones = zones
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="currantreel-review-")
        # All of 127.0.0.0/8 is loopback; a net of its own keeps runs apart.
        self.net = free_net()
        self.store = Store(self.net + ".250:9300")
        self.hosts = []
        self.replicas = []
        self.runs = []
        self.calls = 0
        # As DEPLOY.md shows them.
        self.bounds = {"contact-ms": 3000, "drain-ms": 2000, "grace-s": 8, "config-ms": 2000, "budget-ratio": 0.2,
                       "budget-window-s": 10, "retry-slack": 52}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["router"]
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            self.template = file.read()

    def note(self, event, **fields):
        shown = " ".join("%s=%s" % item for item in fields.items())
        self.record.write("%8.3f %s %s\n" % (time.monotonic() - self.began, event, shown))
        self.record.flush()

    def add_replica(self, service, slots=16, gap_s=0.1, prefill_s=0.0):
        number = len(self.replicas) + 1
        instance = "i-%s-%d" % (service, number)
        replica = Replica(self, service, instance, "%s.%d:9400" % (self.net, 100 + number),
                          self.zones[number % len(self.zones)], slots, gap_s, prefill_s)
        self.replicas.append(replica)
        return replica

    def add_host(self, cpu_share=0.25, memory_mb=260, max_fds=4100):
        number = len(self.hosts) + 1
        zone = self.zones[number % len(self.zones)]
        host = Host("front-%d" % number, "%s.%d" % (self.net, number), zone, cpu_share, memory_mb, max_fds)
        self.hosts.append(host)
        return host

    async def start(self, configuration):
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise NotRun("the daemon is not built; run the build of the deploy file first")
        await self.store.start()
        self.store.write("op/config", configuration)
        for replica in self.replicas:
            await replica.start()
            self.store.write("servers/" + replica.instance, replica.entry())
        for host in self.hosts:
            await self.start_host(host)
        for host in self.hosts:
            await self.wait_ready(host)

    def settings(self, host):
        return {"node": host.name, "role": "router", "machine-class": "front", "serves": self.role["serves"],
                "ip": host.ip, "zone": host.zone, "region": "region-1",
                "seeds": [other.control for other in self.hosts[:3]],
                "listen": {"front": host.front, "ready": host.ready, "control": host.control},
                "limits": {"cpu-share": host.cpu_share, "cores": 1, "memory-mb": host.memory_mb, "max-fds": host.max_fds},
                "bounds": self.bounds, "platform": {"addr": self.store.address}}

    async def start_host(self, host):
        path = os.path.join(self.folder, host.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_in(self.template, [self.settings(host)]))
        words = self.role["run"].replace("/etc/currantreel/local.toml", path).split()
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "CURRANTREEL_CONFIG": path}
        with open(os.path.join(self.folder, host.name + ".log"), "ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (host.max_fds, host.max_fds)))
        self.note("started", host=host.name)

    async def is_ready(self, host):
        answer = await self.exchange(host.ready, "GET", "/ready", [("Host", host.ready)], limit_s=1)
        return answer.status == 200

    async def wait_ready(self, host, limit_s=15, poll_s=0.1):
        end = time.monotonic() + limit_s
        while not await self.is_ready(host):
            if time.monotonic() > end:
                raise NotRun("%s is not ready" % host.name)
            await asyncio.sleep(poll_s)
        self.note("ready", host=host.name)

    async def signal(self, host, number):
        """Sends a signal to a daemon that this run started; waits for its end if it is SIGKILL."""
        self.note("signal", host=host.name, number=signal.Signals(number).name)
        host.process.send_signal(number)
        if number == signal.SIGKILL:
            await host.process.wait()

    async def exchange(self, address, method, path, headers, body=b"", limit_s=30.0, answer=None):
        """One request on a channel of its own."""
        answer = answer or Answer()
        ip, port = address.rsplit(":", 1)
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
                fields = headers + ([("Content-Length", len(body))] if body else [])
                writer.write(message("%s %s HTTP/1.1" % (method, path), fields, body))
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    return answer
                answer.headers = head[1]
                answer.status = int(head[0].split()[1])
                await self.read_answer(reader, answer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        finally:
            if writer:
                writer.close()
        return answer

    @staticmethod
    async def read_answer(reader, answer):
        if header(answer.headers, "Transfer-Encoding").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readline()
                answer.begun.set()
                if size == 0:
                    break
        else:
            answer.body = await reader.readexactly(int(header(answer.headers, "Content-Length", "0")))
        answer.is_complete = True
        answer.begun.set()

    def resident_bytes(self, host):
        """Resident memory of a daemon; 0 if it has ended."""
        try:
            with open("/proc/%d/status" % host.process.pid, encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def bound_memory(self, host):
        """What the platform does: "A process that exceeds `memory-mb` is killed." Returns once it was."""
        host.most_bytes = 0
        while True:
            host.most_bytes = max(host.most_bytes, self.resident_bytes(host))
            if host.most_bytes > host.memory_mb * MEBIBYTE:
                self.note("over memory-mb", host=host.name, bytes=host.most_bytes)
                await self.signal(host, signal.SIGKILL)
                return
            await asyncio.sleep(0.02)

    async def keep_calling(self, host, path, lost):
        """A consumer that sends one request after the other on a kept channel, until the channel ends.

        Appends to `lost` a request that came on the channel after an answered one, ran, and got no byte.
        """
        reader, writer = await asyncio.open_connection(host.ip, int(host.front.rsplit(":", 1)[1]))
        answered = 0
        try:
            while True:
                self.calls += 1
                identifier = "request-%d" % self.calls
                got = b""
                try:
                    writer.write(message("POST %s HTTP/1.1" % path, [
                        ("Host", "mill.example"), ("X-Request-Id", identifier), ("X-Timeout-Ms", 4000),
                        ("Authorization", "Bearer key-1"), ("Content-Length", 2)], b"{}"))
                    got = await reader.read(1)
                    if got:
                        line = got + await reader.readline()
                        size = 0
                        while (field := await reader.readline()) not in (b"\r\n", b""):
                            if field.lower().startswith(b"content-length:"):
                                size = int(field.split(b":")[1])
                        await reader.readexactly(size)
                        answered += 1
                        self.note("kept channel answered", request=identifier, line=line.decode("latin-1").strip())
                        continue
                except (ConnectionError, asyncio.IncompleteReadError):
                    pass
                runs = [run for run in self.runs if run[0] == identifier]
                self.note("kept channel ended", request=identifier, host=host.name, answered=answered,
                          got_bytes=len(got), ran_at=[run[2] for run in runs])
                if answered and runs and not got:
                    lost.append(identifier)
                return
        finally:
            writer.close()

    async def call(self, host, path, limit_ms=15000, body=b"{}", answer=None, key="key-1", **more):
        """A request of a consumer; returns its identifier and the answer."""
        self.calls += 1
        identifier = "request-%d" % self.calls
        headers = [("Host", "mill.example"), ("X-Request-Id", identifier), ("X-Timeout-Ms", limit_ms),
                   ("Authorization", "Bearer " + key)]
        headers += [(name.replace("_", "-"), value) for name, value in more.items()]
        self.note("sent", request=identifier, host=host.name, path=path)
        answer = await self.exchange(host.front, "POST", path, headers, body, limit_ms / 1000, answer)
        self.note("answered", request=identifier, status=answer.status, complete=answer.is_complete,
                  stamp=header(answer.headers, "X-Server-Stamp", "-"), bytes=len(answer.body))
        return identifier, answer

    async def close(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for stand_in in [self.store, *self.replicas]:
            if stand_in.server:
                stand_in.server.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def prompt_headers(parts, answer_tokens=50):
    """Headers of a prompt of `parts`, each an identifier and its tokens."""
    tokens = sum(count for _, count in parts)
    return {"X_Model": "m", "X_Token_Counts": "%d,%d" % (tokens, answer_tokens),
            "X_Prefix_Hash": ",".join("%x:%d" % part for part in parts)}


def route(name, service, kind="streaming", **more):
    """A route of the operator's configuration."""
    entry = {"name": name, "host": "mill.example", "path-prefix": "/%s/" % name, "kind": kind, "timeout-ms": 15000,
             "slo-ms": 300, "priority": 0, "service": service, "max-attempts": 2, "no-auth": False,
             "affinity": kind == "streaming", "stream-resume": False, "gap-target-ms": 200}
    entry.update(more)
    return entry


def configuration(routes, model_services, plain_services=(), version=7, slots=16, kv_capacity=456957):
    """The operator's configuration, as the pages show it."""
    services = [{"name": name, "health-path": "/health", "max-conns": 360,
                 "engine": {"slots": slots, "kv-capacity": kv_capacity, "stride": 4}} for name in model_services]
    services += [{"name": name, "health-path": "/health", "max-conns": 96} for name in plain_services]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "tenant-1", "api-keys": ["key-1"], "priority": 1}]}


def main(play, folder):
    """Runs `play` with trouble or without it, and exits as the review asks: 0 held, 1 broken, 2 not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        # Ended from outside, it still ends the daemons.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await play(has_trouble)

    try:
        is_broken = asyncio.run(limited())
    except (NotRun, TimeoutError, asyncio.CancelledError) as reason:
        tell("not run: %s" % (reason or "out of time"))
        raise SystemExit(EXIT_NOT_RUN)
    except Exception as reason:  # a fault of the case itself shows nothing
        tell("not run: %r" % reason)
        raise SystemExit(EXIT_NOT_RUN)
    tell("broken" if is_broken else "held")
    raise SystemExit(EXIT_BROKEN if is_broken else EXIT_HELD)
