"""Test which modules of the admission queue hosts load that do not use it."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent.parent
PACKAGE = "trefoilstage.components.admission_queue"
# The codec of all hosts can decode the messages.
ALWAYS_LOADED = [PACKAGE, f"{PACKAGE}.messages", f"{PACKAGE}.place_use"]


class ImportTest(unittest.TestCase):
    """Load the modules of a host."""

    def test_host_without_the_queue_loads_only_its_messages(self) -> None:
        """Guard against memory taken on small hosts by a part that is switched off."""
        code = (
            "import sys\n"
            "import trefoilstage.platform.process\n"
            f"print(*sorted(name for name in sys.modules if '{PACKAGE}' in name))\n"
        )
        command = [sys.executable, "-c", code]
        result = subprocess.run(
            command, cwd=ROOT, capture_output=True, check=True, text=True
        )
        self.assertEqual(result.stdout.split(), ALWAYS_LOADED)


if __name__ == "__main__":
    unittest.main()
