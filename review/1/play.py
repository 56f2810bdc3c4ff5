"""A model replica crashes while it writes the events of its streams; payments go on meanwhile."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import *

CRASHES = 24
BETWEEN_CRASHES_S = 3.5
DOWN_S = 2.0  # for_s = 2.0, as on the days of the site file.
STEP_S = 0.017  # A step of the engine: an event of each stream.
PREFILL_S = 0.08
STREAMS = 32  # Consumers of each of the two kinds of stream, for each machine.
PAYERS = 10  # Consumers of payments, for each machine.
ALLOWED = 3  # LOST: "more than three times".
OTHER_PARTS = {"gate": 12, "lot": 0}


class Engine(Replica):
    """A model replica: at each step it writes an event of each of its streams."""

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self.streams = {}
        self.is_down = False

    async def stream(self, request, writer):
        await asyncio.sleep(PREFILL_S)  # Reads the prompt.
        writer.write(self.head(request, 200, ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
        ended = asyncio.Event()
        last = 30 if "/gate/" in request.target else 13
        self.streams[writer] = [int(request.header("Last-Event-Id", "0")), last, ended]
        try:
            await ended.wait()
        finally:
            self.streams.pop(writer, None)
        await writer.drain()
        return True

    async def work(self):
        while True:
            await asyncio.sleep(STEP_S)
            self.step()

    def step(self):
        for writer, state in list(self.streams.items()):
            if writer.transport.is_closing():
                continue
            state[0] += 1
            event = self.event(state[0])
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if state[0] >= state[1]:
                writer.write(b"0\r\n\r\n")
                state[2].set()

    def crash(self):
        """Crashes as it has just written the events of a step."""
        self.site.record.add("replica %s crashes with %d streams" % (self.instance, len(self.streams)))
        self.is_down = True
        events = []
        for writer, state in self.streams.items():
            if not writer.transport.is_closing() and state[0] < state[1]:
                event = self.event(state[0] + 1)
                events.append((writer.get_extra_info("socket"), b"%x\r\n%s\r\n" % (len(event), event)))
        # As a process does that is killed right after a step: the events are sent, then all channels are closed.
        for channel, chunk in events:
            os.write(channel.fileno(), chunk)
        for channel, _ in events:
            channel.shutdown(socket.SHUT_RDWR)
        self.end()
        for state in list(self.streams.values()):
            state[2].set()

    async def come_back(self):
        self.born = int(time.time() * 1000)
        self.is_down = False
        await self.start()
        self.announce()
        self.site.record.add("replica %s is back" % self.instance)


class Traffic:
    def __init__(self, site):
        self.site, self.calls, self.random, self.isOver = site, {}, random.Random(1), False

    def headers(self, kind):
        """The first part is the same for all; so is the document that comes next to last. The last part is the
        request's own."""
        parts = ["5c1e07a2:200"] + ["%08x:%d" % (0x91bd3f00 + part, 30 + part) for part in range(OTHER_PARTS[kind])]
        parts += ["e4402b7d:250", "%08x:55" % self.random.getrandbits(32)]
        return ["X-Model: m", "X-Token-Counts: 900,60", "X-Prefix-Hash: " + ",".join(parts)]

    async def consume(self, host, kind, number):
        consumer = Consumer(self.site, self.site.front(host))
        count = 0
        while not self.isOver:
            count += 1
            id = "%s-%s-%d-%d" % (kind, host[-1], number, count)
            isKept = consumer.writer is not None
            target = {"pay": "/payments/%d", "lot": "/lot/stream/%d", "gate": "/gate/stream/%d"}[kind] % count
            timeout = {"pay": 1500, "lot": 5000, "gate": 15000}[kind]
            self.calls[id] = call = {"host": host, "isKept": isKept, "answer": None, "at": 0.0}
            try:
                call["answer"] = await consumer.call("POST", target, id, () if kind == "pay" else self.headers(kind),
                                                     b"x" * 200, timeout)
            except OSError:
                consumer.close()
                await asyncio.sleep(0.2)
            call["at"] = time.monotonic()
            await asyncio.sleep(0.05)
        consumer.close()

    def lost(self, host, since, crashed):
        """Requests that came on a kept channel, were passed on to a sound replica, and whose channel ended
        without an answer."""
        ran = {request.id: replica for replica in self.site.replicas.values() if replica is not crashed
               for _, request in replica.runs}
        return [id for id, call in self.calls.items()
                if call["host"] == host and call["isKept"] and id in ran and call["at"] >= since and call["answer"]
                and call["answer"].status == 0 and call["answer"].fault.startswith("channel ended")
                and not call["answer"].hasBegun]


async def play(site, hasTrouble):
    engines = [site.add_replica(Engine, "pool-%s" % name, "pool", number, slots=64)
               for number, name in enumerate("abcd", start=1)]
    for number, name in enumerate("abc", start=11):
        site.add_replica(Replica, "kantar-" + name, "kantar", number, slots=12).work_s = 0.06
    await site.start()
    works = [asyncio.create_task(engine.work()) for engine in engines]
    traffic = Traffic(site)
    tasks = [asyncio.create_task(traffic.consume(host, kind, number)) for host in site.hosts
             for kind, count in (("pay", PAYERS), ("lot", STREAMS), ("gate", STREAMS)) for number in range(count)]
    await asyncio.sleep(3.0)
    result = PASS
    for _ in range(CRASHES):
        await asyncio.sleep(BETWEEN_CRASHES_S - DOWN_S)
        engine = max(engines, key=lambda each: len(each.streams))
        crashedAt = time.monotonic()
        if hasTrouble:
            engine.crash()
        await asyncio.sleep(DOWN_S)
        for host in site.hosts:
            if site.processes[host].poll() is None:
                continue
            lost = traffic.lost(host, crashedAt, engine)
            site.record.add("%s ended by itself with status %d; requests of kept channels at sound replicas that got no "
                            "answer: %d: %s" % (host, site.processes[host].poll(), len(lost), lost))
            if len(lost) > ALLOWED:
                result = BROKEN
            site.start_host(host)
        if hasTrouble:
            await engine.come_back()
        if result == BROKEN:
            break
    traffic.isOver = True
    for fault in await asyncio.gather(*tasks, return_exceptions=True):
        if fault:
            site.record.add("a consumer failed: %r" % fault)
    for work in works:
        work.cancel()
    statuses = {}
    for id, call in traffic.calls.items():
        key = "%s %s" % (id.split("-")[0], call["answer"].status if call["answer"] else "-")
        statuses[key] = statuses.get(key, 0) + 1
    site.record.add("answers: %s" % statuses)
    return result


if __name__ == "__main__":
    main(os.path.dirname(os.path.abspath(__file__)), play)
