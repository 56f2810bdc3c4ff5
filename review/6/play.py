"""A daemon is killed and started again while it has requests at several services."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
import rig  # noqa: E402

# Four pools of model replicas, each with a route of its own.
SERVICES = ["model-%d" % number for number in range(1, 5)]
REQUESTS = 32
LONG_EVENTS = 120  # 12 s, within the time limit
SHORT_EVENTS = 3


def prompt():
    return rig.prompt_headers([(random.getrandbits(32), 120), (random.getrandbits(32), 80),
                               (random.getrandbits(32), 400)])


async def play(has_trouble):
    deployment = rig.Deployment(FOLDER)
    try:
        for service in SERVICES:
            for _ in range(2):
                deployment.add_replica(service)
        host = deployment.add_host(cpu_share=0.09)
        deployment.add_host(cpu_share=0.5)
        routes = [rig.route("ask-" + service, service) for service in SERVICES]
        await deployment.start(rig.configuration(routes, SERVICES))
        await asyncio.sleep(2)  # the daemons find each other

        first = []
        for number in range(REQUESTS):
            path = "/ask-%s/events/%d" % (SERVICES[number % len(SERVICES)], LONG_EVENTS)
            answer = rig.Answer()
            first.append(asyncio.create_task(deployment.call(host, path, answer=answer, **prompt())))
            await asyncio.wait_for(answer.begun.wait(), 5)

        if has_trouble:
            await deployment.signal(host, signal.SIGKILL)
            await asyncio.gather(*first)
            await deployment.start_host(host)
            await deployment.wait_ready(host)
        await asyncio.sleep(1)  # the platform asks once a second whether it is ready

        # The same routes, in another order.
        sent = {}
        for number in range(REQUESTS):
            service = SERVICES[(number + 1 + number // len(SERVICES)) % len(SERVICES)]
            identifier, answer = await deployment.call(host, "/ask-%s/events/%d" % (service, SHORT_EVENTS), **prompt())
            sent[identifier] = service
        for task in first:
            task.cancel()

        runs = [run for run in deployment.runs if run[0] in sent]
        wrong = [run for run in runs if run[1] != sent[run[0]]]
        for identifier, service, replica in wrong:
            deployment.note("WRONG SERVICE", request=identifier, allowed=sent[identifier], ran_at=service,
                            replica=replica)
        rig.tell("%d requests ran after the start, %d of them at a service that no configuration allows"
              % (len(runs), len(wrong)))
        if not runs:
            raise rig.NotRun("no request ran")
        return bool(wrong)
    finally:
        await deployment.close()


rig.main(play, FOLDER)
