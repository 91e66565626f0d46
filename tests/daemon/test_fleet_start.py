"""Startup of a process of a fleet: early listening, imported packages, and no OpenSSL."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from daemon.node_start import measure_node_start
from passlane.daemon.fleet_start import early_addresses

RUNS_ALONE = "starts processes"

SETTINGS = """
[addresses]
internal = "10.1.0.30:7380"
callers = "10.1.0.30:8149"
readiness = "10.1.0.30:8141"
metrics = "10.1.0.30:9464"
"""
NODE_PACKAGES = (
    "anyio",
    "h11",
    "httpcore",
    "httptools",
    "msgspec",
    "structlog",
    "typing_extensions",
    "uvicorn",
    "xxhash",
)
"""All third-party packages that a node imports."""


class EarlyAddressesTest(unittest.TestCase):
    def addresses_in(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            return list(early_addresses(path))

    def test_returns_the_addresses_that_clients_outside_the_fleet_connect_to(self):
        self.assertEqual(self.addresses_in(SETTINGS), ["10.1.0.30:8149", "10.1.0.30:8141"])

    def test_invalid_settings_have_no_early_addresses(self):
        for text in ("[addresses", "addresses = 3", "addresses = [1]", "[addresses]\ncallers = 7"):
            with self.subTest(text=text):
                self.assertEqual(self.addresses_in(text), [])

    def test_a_missing_file_has_no_early_addresses(self):
        self.assertEqual(list(early_addresses(Path("/nowhere/settings.toml"))), [])


class ImportsTest(unittest.TestCase):
    def test_a_node_does_not_import_modules_that_it_does_not_need_to_serve(self):
        program = (
            "import sys\n"
            "import passlane.daemon.fleet_start, passlane.daemon.fleet.process\n"
            "import passlane.daemon.fleet.node, passlane.runtime.http_server\n"
            "import passlane.runtime.http_client\n"
            "from passlane.observability.metrics import Metrics\n"
            "from passlane.relay.request_metrics import RequestMetrics\n"
            "RequestMetrics(Metrics()).record_end('stream', 200, 0.1)\n"
            "unwanted = {'prometheus_client', 'click', 'cleo', 'uvicorn.main', 'starlark'}\n"
            "unwanted |= {'httpcore._sync', 'httpcore._async.connection_pool', 'certifi'}\n"
            "print(sorted(unwanted & set(sys.modules)))\n"
        )
        process = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(process.stdout.strip(), "[]")


class NodeStartTest(unittest.TestCase):
    def test_an_idle_node_has_imported_exactly_these_packages(self):
        self.assertEqual(measure_node_start().packages, NODE_PACKAGES)


class PackagesTest(unittest.TestCase):
    def test_a_later_import_gets_the_complete_package_with_the_same_modules(self):
        program = (
            "from passlane.runtime import http_connection\n"
            "import httpcore\n"
            "print(callable(httpcore.request), httpcore.AsyncConnectionPool.__name__,\n"
            "      httpcore.ReadError is http_connection.ReadError,\n"
            "      httpcore.AsyncHTTP11Connection is http_connection.AsyncHTTP11Connection)\n"
        )
        process = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(process.stdout.strip(), "True AsyncConnectionPool True True")


class OpensslTest(unittest.TestCase):
    def run_program(self, program):
        return subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        ).stdout.strip()

    def test_each_role_runs_without_openssl(self):
        program = (
            "import sys\n"
            "import passlane.daemon.fleet_start\n"
            "from passlane.runtime.without_openssl import leave_openssl_out\n"
            "assert leave_openssl_out()\n"
            "import passlane.daemon.fleet.process, passlane.daemon.fleet.node\n"
            "import passlane.daemon.fleet.control, passlane.daemon.fleet.store\n"
            "import passlane.runtime.http_server, passlane.runtime.http_client\n"
            "from passlane.observability.metrics import Metrics\n"
            "Metrics().expose()\n"
            "print('_ssl' in sys.modules, sys.modules['_hashlib'])\n"
        )
        self.assertEqual(self.run_program(program), "False None")

    def test_requests_are_sent_and_served_without_openssl(self):
        program = (
            "from passlane.runtime.without_openssl import leave_openssl_out\n"
            "assert leave_openssl_out()\n"
            "import sys\n"
            f"sys.path.insert(0, {str(Path(__file__).parents[1])!r})\n"
            "from runtime.one_exchange import exchange_over_loopback\n"
            "print(exchange_over_loopback())\n"
        )
        self.assertEqual(self.run_program(program), "200 b'hello'")

    def test_creating_a_tls_context_raises_an_error_that_names_the_reason(self):
        program = (
            "from passlane.runtime.without_openssl import TlsNotAvailableError, leave_openssl_out\n"
            "assert leave_openssl_out()\n"
            "import ssl\n"
            "try:\n"
            "    ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)\n"
            "except TlsNotAvailableError as error:\n"
            "    print(error, issubclass(ssl.SSLError, Exception), ssl.SSLError is ssl.SSLError)\n"
        )
        self.assertEqual(
            self.run_program(program), "this process was started without TLS True True"
        )

    def test_openssl_stays_in_a_process_that_has_imported_asyncio_already(self):
        program = (
            "import asyncio, ssl\n"
            "from passlane.runtime.without_openssl import leave_openssl_out\n"
            "print(leave_openssl_out(), ssl.SSLContext.__module__)\n"
        )
        self.assertEqual(self.run_program(program), "False ssl")
