"""Test that a host skips unneeded work at startup."""

import gc
import importlib.util
import os
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from trefoilstage.util.startup import enable_garbage_collector, prepare_imports

ROOT = Path(__file__).parent.parent.parent
# The test fleets start processes from both; a host imports most of the first.
PACKAGES = ("trefoilstage", "standins")


class CompiledModulesTest(unittest.TestCase):
    """Test that the bytecode of all modules is cached."""

    def test_modules_are_compiled_before_the_tests(self) -> None:
        """Look for the cached bytecode of every module.

        Where Python may not write bytecode, each process of a fleet compiles every
        module itself. Twelve hosts started together on a busy machine were then not
        listening within the launcher's timeout of 30 s.
        """
        missing = [
            str(path)
            for package in PACKAGES
            for path in (ROOT / package).rglob("*.py")
            if not Path(importlib.util.cache_from_source(str(path))).exists()
        ]
        self.assertEqual(missing, [])


class StartupTest(unittest.TestCase):
    """Test the work that is skipped during imports."""

    def tearDown(self) -> None:
        gc.unfreeze()
        gc.enable()

    def test_garbage_collector_is_off_only_during_imports(self) -> None:
        with mock.patch.dict(os.environ):
            prepare_imports()
            self.assertFalse(gc.isenabled())
        enable_garbage_collector()
        self.assertTrue(gc.isenabled())
        self.assertGreater(gc.get_freeze_count(), 0)

    def test_importing_aiohttp_loads_no_certificates(self) -> None:
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
