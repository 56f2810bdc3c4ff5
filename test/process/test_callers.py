"""Tests of one host as callers see it: complete responses, error codes, size limits and cancellation."""

import json
import time
import unittest

from whole_site import Site, open_socket, raw_request, request, stream_tokens, wait_until

CHAT = "/v1/chat/completions"


class Callers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = Site(domains=("a",), engine_flags=("--token_us", "250", "--prefill_us", "0"),
                        limits={"stream_buffer_bytes": 65536, "body_bytes": 2097152})
        cls.callers = cls.site.callers("a-1")

    @classmethod
    def tearDownClass(cls):
        cls.site.__exit__()

    def engine_load(self):
        return self.site.get(self.site.engines["engine-a"], "/v1/load").json()

    def assert_serves(self):
        texts, is_complete = stream_tokens(self.site.chat("a-1", tokens=3).body)
        self.assertEqual((texts, is_complete), (["t0 ", "t1 ", "t2 "], True))

    def test_request_of_a_megabyte_passes_whole(self):
        answer = self.site.chat("a-1", tokens=2, stream=False, content="x" * 1048576)
        self.assertEqual(answer.status, 200)
        self.assertGreater(answer.json()["usage"]["prompt_tokens"], 1048576 // 4)

    def test_unstreamed_answer_states_its_outcome(self):
        answer = self.site.chat("a-1", tokens=5, stream=False)
        self.assertEqual(answer.json()["choices"][0]["message"]["content"], "t0 t1 t2 t3 t4 ")
        self.assertEqual(answer.headers["Currantreel-Outcome"], "completed")

    def test_malformed_requests_get_numbered_errors(self):
        headers = self.site.headers("gate")
        cases = [
            ("POST", CHAT, "{not json", headers, 400, 3001),
            ("POST", CHAT, "[]", headers, 400, 3001),
            ("POST", CHAT, '{"model":5,"messages":[]}', headers, 400, 3001),
            ("POST", CHAT, '{"model":"m"}', headers, 400, 3001),
            ("POST", CHAT, '{"model":"none","messages":[]}', headers, 404, 3004),
            ("POST", CHAT, '{"model":"m","messages":[]}', self.site.headers("none"), 400, 3002),
            ("POST", CHAT, '{"model":"m","messages":[]}', {"Currantreel-Workspace": "x"}, 403, 3003),
            ("POST", "/v1/services/none/x", "", headers, 404, 3005),
            ("GET", "/nothing", None, headers, 404, 3006),
            ("GET", CHAT, None, headers, 405, 3007),
            ("POST", CHAT, '{"model":"m","messages":[]}',
             {**headers, "Currantreel-Deadline-Ms": "soon"}, 400, 3009),
            ("POST", "/v1/services/payment/x", "{}", self.site.headers("payment"), 428, 5002),
            ("POST", "/v1/services/payment/x", "{}",
             {**self.site.headers("payment"), "Idempotency-Key": "made-up"}, 400, 5001),
        ]
        for method, path, body, sent, status, code in cases:
            with self.subTest(path=path, body=body):
                answer = request(self.callers, method, path, body, sent)
                self.assertEqual((answer.status, answer.error_code()), (status, code))
                self.assertEqual(answer.json()["error"]["outcome"], "not_run")
        self.assert_serves()

    def test_malformed_http_is_refused_and_the_host_serves_on(self):
        noise = [b"\x00\xff\xfe\r\n\r\n", b"POST\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n",
                 b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: minus\r\n\r\n",
                 b"POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                 b"GET /" + b"a" * 100000 + b" HTTP/1.1\r\n\r\n"]
        for bytes_sent in noise:
            with self.subTest(noise=bytes_sent[:40]):
                with open_socket(self.callers) as connection:
                    connection.settimeout(10)
                    connection.sendall(bytes_sent)
                    try:
                        answer = connection.recv(65536)
                    except ConnectionResetError:
                        answer = b""
                    self.assertFalse(answer.startswith(b"HTTP/1.1 200"))
        self.assert_serves()

    def test_bytes_sent_ahead_of_the_reply_do_no_harm(self):
        body = json.dumps({"model": "m", "max_tokens": 300, "stream": False, "messages": []})
        one = raw_request(CHAT, body, self.site.headers("gate"))
        with open_socket(self.callers) as connection:
            connection.sendall(one)
            time.sleep(0.1)
            connection.sendall(one)
            received = b""
            while received.count(b'"completion_tokens":300') < 2:
                chunk = connection.recv(65536)
                self.assertTrue(chunk, received[-300:])
                received += chunk
        self.assert_serves()

    def test_body_above_the_limit_is_refused(self):
        with open_socket(self.callers) as connection:
            connection.settimeout(10)
            connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n")
            self.assertIn(b" 413 ", connection.recv(4096))

    def test_caller_who_leaves_has_the_work_cancelled(self):
        before = self.engine_load().get("cancelled", 0)
        body = json.dumps({"model": "m", "max_tokens": 100000, "stream": True, "messages": []})
        with open_socket(self.callers) as connection:
            connection.sendall(raw_request(CHAT, body, self.site.headers("gate")))
            self.assertTrue(connection.recv(1024))
        wait_until(lambda: self.engine_load()["cancelled"] > before, "the engine's work is cancelled")
        wait_until(lambda: self.site.status("a-1")["requests_in_progress"] == 0, "no request is left")

    def test_caller_who_leaves_while_queued_is_forgotten(self):
        body = json.dumps({"model": "m", "max_tokens": 100000, "stream": True, "messages": []})
        connections = [open_socket(self.callers) for _ in range(20)]
        for connection in connections:
            connection.sendall(raw_request(CHAT, body, self.site.headers("lookup")))
        wait_until(lambda: self.site.status("a-1")["queued"] >= 8, "requests are queued")
        for connection in connections:
            connection.close()
        wait_until(lambda: self.site.status("a-1")["requests_in_progress"] == 0, "no request is left")
        self.assert_serves()


if __name__ == "__main__":
    unittest.main()
