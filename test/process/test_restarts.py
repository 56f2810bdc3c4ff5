"""Tests of hosts that are killed and started again, with real daemons and a stand-in site."""

import unittest

from forward_site import CONFIGURATION, ForwardSite
from whole_site import open_socket, wait_until

# So many that the host that isn't killed owns several.
SERVICES = 12
REQUESTS = 24


class RestartedHost(unittest.TestCase):
    """Guards against requests that ran at another service than their route's after a restart, since owners took them
    for those of the earlier process with the same numbers."""

    @classmethod
    def setUpClass(cls):
        cls.site = ForwardSite(hosts=2, engines=SERVICES)
        routes = [dict(CONFIGURATION["routes"][0], name="m-%d" % number, service="m-%d" % number,
                       **{"path-prefix": "/m-%d/" % number, "timeout-ms": 15000})
                  for number in range(1, SERVICES + 1)]
        services = [dict(CONFIGURATION["services"][0], name=route["service"]) for route in routes]
        cls.site.publish("op/config", {**CONFIGURATION, "version": 8, "services": services + CONFIGURATION["services"],
                                       "routes": routes + CONFIGURATION["routes"]})
        for number in range(1, SERVICES + 1):
            cls.site.announce("e-%d" % number, service="m-%d" % number, sequence=2)
        for number in range(1, SERVICES + 1):
            wait_until(lambda number=number: cls.site.call("/m-%d/x" % number)[0].status == 200, "a route is in force")

    @classmethod
    def tearDownClass(cls):
        cls.site.close()

    def begin(self, path):
        """Sends a request whose server never answers, and returns its connection."""
        connection = open_socket(self.site.host_address(1, 8740))
        headers = {**self.site.headers(X_Test="silent"), "X-Timeout-Ms": "15000"}
        text = "".join("%s: %s\r\n" % item for item in headers.items())
        connection.sendall(("POST %s HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n" % (path, text)).encode())
        wait_until(lambda: self.site.seen(headers["X-Request-Id"]), "the request runs")
        return connection

    def restart(self, number):
        process = self.site.processes["host-%d" % number]
        process.kill()
        process.wait()
        before = self.meetings(number)
        self.site.start_host(number)
        wait_until(lambda: self.site.is_ready(number), "the host is ready again")
        wait_until(lambda: self.meetings(number) > before, "it knows the other host, which owns services")

    def meetings(self, number):
        """How often the host has noted that the other one is present."""
        with open(self.site.log_path("host-%d" % number), encoding="utf-8") as log:
            return sum('"peers_changed"' in line and '"present":"1"' in line for line in log)

    def test_requests_after_a_restart_run_at_their_own_service(self):
        self.restart(1)  # Its requests are numbered from the start.
        held = [self.begin("/m-%d/x" % (number % SERVICES + 1)) for number in range(REQUESTS)]
        self.restart(1)
        for number in range(REQUESTS):
            service = (number + 1 + number // SERVICES) % SERVICES + 1  # not in the order of before
            _, identifier = self.site.call("/m-%d/x" % service)
            self.assertEqual({run["instance"] for run in self.site.seen(identifier)}, {"e-%d" % service})
        for connection in held:
            connection.close()


if __name__ == "__main__":
    unittest.main()
