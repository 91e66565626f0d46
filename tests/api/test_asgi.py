"""Reading of requests: the limit on the declared length of a body."""

import unittest

import anyio

from passlane.api.asgi import read_request
from passlane.errors import ErrorCode, PasslaneError


class DeclaredLengthTest(unittest.TestCase):
    def read(self, declared, body=b""):
        scope = {
            "method": "POST",
            "path": "/",
            "headers": [(b"content-length", declared.encode())],
        }

        async def receive():
            if not body:
                raise AssertionError("the body was read")
            return {"type": "http.request", "body": body}

        return anyio.run(read_request, scope, receive, 100)

    def test_body_with_too_large_declared_length_is_refused_before_it_is_read(self):
        with self.assertRaises(PasslaneError) as caught:
            self.read("1000000000")
        self.assertIs(caught.exception.code, ErrorCode.BODY_TOO_LARGE)

    def test_body_within_the_limit_is_read(self):
        self.assertEqual(self.read("4", b"body").body, b"body")
