"""Load modules with less processor time, so that a host listens sooner."""

import gc
import os


def prepare_imports() -> None:
    """Leave out what loading modules costs and a host doesn't need.

    The HTTP library reads the machine's certificates when it is imported, though all
    addresses are plain HTTP. What is loaded stays for good, and the collector would
    look through all of it again and again. Both count while the callers of a killed
    host are turned away, and where many hosts start at once on a busy machine.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()


def start_collector() -> None:
    """Collect garbage from now on, leaving out what was loaded at the start."""
    gc.collect()
    gc.freeze()
    gc.enable()
