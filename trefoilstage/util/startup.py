"""Reduce the CPU time of imports, so that a host listens sooner."""

import gc
import os


def prepare_imports() -> None:
    """Skip work during imports that a host does not need.

    aiohttp loads the system's CA certificates when it is imported, although all
    addresses are plain HTTP. Imported objects are never freed, and the garbage
    collector would scan them repeatedly. The time saved matters while callers are
    refused after a host was killed, and when many hosts start on a busy machine.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()


def enable_garbage_collector() -> None:
    """Enable the garbage collector, exempting all objects loaded so far."""
    gc.collect()
    gc.freeze()
    gc.enable()
