"""Test that a host's start costs no more than it needs."""

import gc
import importlib.util
import os
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from trefoilstage.util.startup import prepare_imports, start_collector

ROOT = Path(__file__).parent.parent.parent
# The fleets of the tests start these; a host loads most of the first.
PACKAGES = ("trefoilstage", "standins")


class CompiledModulesTest(unittest.TestCase):
    """Test that processes find their modules compiled."""

    def test_modules_were_compiled_before_the_tests(self) -> None:
        """Look for the bytecode of all modules.

        Where Python may not write bytecode, each of a fleet's processes compiled
        every module again. Twelve hosts that start at once beside other work then
        had not listened when the launcher's 30 s were over.
        """
        missing = [
            str(path)
            for package in PACKAGES
            for path in (ROOT / package).rglob("*.py")
            if not Path(importlib.util.cache_from_source(str(path))).exists()
        ]
        self.assertEqual(missing, [])


class StartupTest(unittest.TestCase):
    """Test what is left out while modules are loaded."""

    def tearDown(self) -> None:
        gc.unfreeze()
        gc.enable()

    def test_collector_is_off_only_while_modules_are_loaded(self) -> None:
        with mock.patch.dict(os.environ):
            prepare_imports()
            self.assertFalse(gc.isenabled())
        start_collector()
        self.assertTrue(gc.isenabled())
        self.assertGreater(gc.get_freeze_count(), 0)

    def test_no_certificates_are_read_when_the_http_library_is_loaded(self) -> None:
        code = (
            "from trefoilstage.util.startup import prepare_imports\n"
            "prepare_imports()\n"
            "from aiohttp import connector\n"
            "print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509_ca'])\n"
        )
        environment = {k: v for k, v in os.environ.items() if k != "SSL_CERT_FILE"}
        command = [sys.executable, "-c", code]
        result = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, check=True
        )
        self.assertEqual(result.stdout.strip(), b"0")


if __name__ == "__main__":
    unittest.main()
