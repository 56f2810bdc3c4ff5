"""All daemons are killed at one moment, and a replica is replaced while they start again."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
import rig  # noqa: E402

# As the sheet of karacay-tickets has them.
ZONES = ["edirne-a", "edirne-b", "uzunkopru"]
MACHINES_A_ZONE = 2
REPLICAS = 3  # of kantar-app
SLOTS = 6
CONTACT_S = 3.0
DRAIN_S = 2.0

START_SPREAD_S = 0.3  # "All machines start within 0.3 s of each other"
STEP_S = 0.04
REQUESTS = 40  # at each machine


async def play(has_trouble):
    deployment = rig.Deployment(FOLDER, ZONES)
    try:
        for _ in range(REPLICAS):
            deployment.add_replica("app", SLOTS)
        for _ in range(len(ZONES) * MACHINES_A_ZONE):
            deployment.add_host()
        hosts = deployment.hosts
        routes = [rig.route("post", "app", "non_idempotent", **{"timeout-ms": 800})]
        await deployment.start(rig.configuration(routes, [], ["app"]))
        await asyncio.sleep(4)  # they find each other, and some read the store for all

        leaving = deployment.replicas[0]
        coming = deployment.add_replica("app", SLOTS)
        await coming.start()
        if has_trouble:
            for host in hosts:
                await deployment.signal(host, signal.SIGKILL)
            began = time.monotonic()
            for host in hosts[:3]:
                await deployment.start_host(host)
            for host in hosts[:3]:
                await deployment.wait_ready(host, poll_s=0.01)
        # A release: the new one starts first.
        deployment.store.write("servers/" + coming.instance, coming.entry())
        deployment.note("new replica", replica=coming.instance)
        await asyncio.sleep(STEP_S)
        # One of those that never report that they drain: its entry is removed, and it serves on for a while.
        deployment.store.remove("servers/" + leaving.instance)
        removed = time.monotonic()
        deployment.note("removal acknowledged", replica=leaving.instance)
        if has_trouble:
            await asyncio.sleep(STEP_S)
            for host in hosts[3:]:
                await deployment.start_host(host)
            if time.monotonic() - began > START_SPREAD_S:
                raise rig.NotRun("the machines did not start within 0.3 s")
            for host in hosts:
                await deployment.wait_ready(host)
        await asyncio.sleep(CONTACT_S + 0.5)  # longer than drain-ms, too

        age = time.monotonic() - removed
        assert age > DRAIN_S
        sent = {}
        for number in range(REQUESTS):
            calls = [deployment.call(host, "/post/%d" % number, limit_ms=1500) for host in hosts]
            for host, (identifier, _) in zip(hosts, await asyncio.gather(*calls)):
                sent[identifier] = host
        late = [run for run in deployment.runs if run[0] in sent and run[2] == leaving.instance]
        for host in hosts:
            count = sum(sent[run[0]] == host for run in late)
            deployment.note("sent to the replica that left", host=host.name, requests=count, of=REQUESTS)
        runs = sum(run[0] in sent for run in deployment.runs)
        rig.tell("%d requests ran, %d of them at the replica that had left %.1f s before" % (runs, len(late), age))
        if not runs:
            raise rig.NotRun("no request ran")
        return bool(late)
    finally:
        await deployment.close()


rig.main(play, FOLDER)
