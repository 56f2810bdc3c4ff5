"""Tests of responses of 20,000 tokens. Each takes the stand-in engine more than a minute, so they are run by hand:
python3 -B test/process/long_answers.py
"""

import json
import time
import unittest

from whole_site import Site, open_socket, raw_request, stream_tokens

CHAT = "/v1/chat/completions"


class LongAnswers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = Site(domains=("a",), engine_flags=("--token_us", "250", "--prefill_us", "0"),
                        limits={"stream_buffer_bytes": 65536})
        cls.callers = cls.site.callers("a-1")

    @classmethod
    def tearDownClass(cls):
        cls.site.__exit__()

    def resident_kilobytes(self):
        with open("/proc/%d/status" % self.site.processes["a-1"].pid, encoding="ascii") as status:
            return int(next(line for line in status if line.startswith("VmRSS")).split()[1])

    def test_answer_of_20000_tokens_passes_whole(self):
        texts, is_complete = stream_tokens(self.site.chat("a-1", tokens=20000, timeout=120).body)
        self.assertTrue(is_complete)
        self.assertEqual(texts, ["t%d " % i for i in range(20000)])

    def test_slow_reader_holds_bounded_memory_and_gets_the_whole_answer(self):
        before = self.resident_kilobytes()
        body = json.dumps({"model": "m", "max_tokens": 20000, "stream": True, "messages": []})
        connections = [open_socket(self.callers, timeout=120) for _ in range(4)]
        for connection in connections:
            connection.sendall(raw_request(CHAT, body, self.site.headers("gate")))
        time.sleep(3)
        # Each connection may use its stream buffer and the bytes of one read, far below the 2.4 MB of a response.
        self.assertLess(self.resident_kilobytes() - before, 4 * 1024)
        for connection in connections:
            received = b""
            while b"data: [DONE]" not in received[-200:]:
                chunk = connection.recv(1 << 20)
                self.assertTrue(chunk)
                received += chunk
            self.assertEqual(received.count(b"data: {"), 20000)
            connection.close()


if __name__ == "__main__":
    unittest.main()
