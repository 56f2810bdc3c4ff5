"""Tests of the command-line tool: bad input gives a numbered error, and nothing is lost."""

import http.server
import os
import random
import subprocess
import tempfile
import threading
import unittest

from whole_site import BUILD

EXIT_USAGE = 2
SOURCES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")


def tool(*arguments):
    return subprocess.run([os.path.join(BUILD, "currantreel"), *arguments], capture_output=True, text=True,
                          timeout=30, check=False)


class FixedAnswer(http.server.BaseHTTPRequestHandler):
    """Answers each GET with `body`."""

    body = b"{}"

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *unused):
        pass


class Tool(unittest.TestCase):
    def test_a_version_is_digits_only(self):
        result = tool("config", "wait", "12abc", "127.0.0.1:1")
        self.assertEqual(result.returncode, EXIT_USAGE)
        self.assertIn("tool_usage", result.stderr)

    def test_rebase_replaces_the_base_of_a_patch_only(self):
        with tempfile.TemporaryDirectory(prefix="currantreel-tool-") as directory:
            published, patch = os.path.join(directory, "published"), os.path.join(directory, "patch.toml")
            example = os.path.join(SOURCES, "examples", "karacay-mill", "configuration.toml")
            self.assertEqual(tool("config", "init", published, example).returncode, 0)
            with open(patch, "w", encoding="utf-8") as file:
                file.write("baseline = 3\nbase = 9\n")
            lines = tool("config", "propose", published, patch, "--rebase").stdout.splitlines()
            self.assertEqual(lines[:2], ["baseline = 3", "base = 1"])

    def test_a_reply_without_records_is_an_error_of_its_own(self):
        address = ("127.%d.7.1" % random.randint(20, 219), 9555)
        server = http.server.HTTPServer(address, FixedAnswer)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            for body in (b"{}", b'{"records":[1]}', b'{"records":[{"patch":"x"}]}', b"[]"):
                with self.subTest(body):
                    FixedAnswer.body = body
                    result = tool("config", "audit", "%s:%d" % address)
                    self.assertGreater(result.returncode, 0)
                    self.assertNotIn("terminate", result.stderr)
                    self.assertIn("tool_", result.stderr)
        finally:
            server.shutdown()
            server.server_close()


if __name__ == "__main__":
    unittest.main()
