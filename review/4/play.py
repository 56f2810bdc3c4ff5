"""A replica leaves while a machine is cut off from the store; its answers tell that it leaves."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import *

CUT_S = 5.5  # The sheet's core_cut: for_s = 5.5.
SERVES_ON_S = 4.0  # drain-ms and a little longer.
PAUSE_S = 0.02


async def consume(site, number, until, sent):
    consumer = Consumer(site, site.front(site.hosts[0]))
    count = 0
    while time.monotonic() < until:
        count += 1
        id = "payment-%d-%d" % (number, count)
        sent[id] = [time.monotonic(), None, None]
        answer = await consumer.call("POST", "/payments/%d" % count, id, body=b"ticket")
        sent[id][1:] = [time.monotonic(), answer]
        await asyncio.sleep(PAUSE_S)
    consumer.close()


async def play(site, hasTrouble):
    for number, zone in enumerate("abc", start=1):
        site.add_replica(Replica, "kantar-" + zone, "kantar", number, slots=6)
    await site.start()
    leaving = site.replicas["kantar-a"]
    sent = {}
    started = time.monotonic()
    consumers = [asyncio.create_task(consume(site, number, started + CUT_S + 1.0, sent)) for number in range(4)]
    await asyncio.sleep(0.5)
    if hasTrouble:
        site.record.add("the machine is cut off from the store")
        await site.store.cut()
    await asyncio.sleep(0.5)
    site.record.add("kantar-a reports draining, and says so in its answers from now on")
    leaving.announce("draining")
    leaving.is_leaving = True
    await asyncio.sleep(SERVES_ON_S)
    site.record.add("kantar-a exits")
    leaving.end()
    await asyncio.sleep(0.3)
    if hasTrouble:
        site.record.add("the cut ends")
        await site.store.heal()
    await asyncio.gather(*consumers)

    told = [at for at, answer in ((entry[1], entry[2]) for entry in sent.values())
            if answer and answer.headers.get("server-leaving") == "1"]
    if not told:
        site.record.add("no answer with Server-Leaving was passed on")
        return PASS if not hasTrouble else NO_RUN
    bound = min(told) + BOUNDS["drain-ms"] / 1000
    late = [request.id for at, request in leaving.runs if sent[request.id][0] > bound]
    lost = [id for id in late if sent[id][2].status != 200]
    site.record.add("first answer with Server-Leaving passed on at %.3f; requests sent later than drain-ms after it "
                    "that reached kantar-a: %d; of these without a success: %d %s"
                    % (min(told) - site.record.started, len(late), len(lost), lost))
    return BROKEN if late else PASS


if __name__ == "__main__":
    main(os.path.dirname(os.path.abspath(__file__)), play, hosts=1)
