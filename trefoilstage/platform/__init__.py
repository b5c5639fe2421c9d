"""Speak to the platform: its settings, headers, store and configuration.

Nothing here decides. Each name on the wire is decoded once, into the types of the
components.
"""

import os

# The HTTP library loads the machine's certificates when it is imported: 0.1 s of a
# host's start and 2 MB of its memory, although all addresses here are plain HTTP.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
