"""Create callers' bearer keys and hash them for the configuration."""

import secrets
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from trefoilstage.cli.common import fail
from trefoilstage.cli.output import ExitCode, print_error
from trefoilstage.util.hashing import hash_secret

N_KEY_BYTES = 24

HASH_EXAMPLES = """Examples:

    trefoilstage key hash --new > school-brest.key

    trefoilstage key hash --file school-brest.key

    trefoilstage key hash < school-brest.key
"""


@cappa.command(name="hash", epilog=HASH_EXAMPLES)
@dataclass(kw_only=True)
class KeyHashCommand:
    """Print the digest of a bearer key for a workspace's key_sha256 setting."""

    file: Annotated[
        Path | None,
        cappa.Arg(
            long=True, help="the file that contains the key; default: standard input"
        ),
    ] = None
    new: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="create a key; print it to standard output, its digest to error",
        ),
    ] = False

    def __call__(self) -> None:
        """Print the digest, and the key if it is new."""
        if self.new:
            secret = secrets.token_urlsafe(N_KEY_BYTES)
            print(secret)
            print_error(hash_secret(secret))
            return
        print(hash_secret(read_key(self.file)))


@cappa.command(name="key")
@dataclass(kw_only=True)
class KeyCommand:
    """Create and hash callers' bearer keys."""

    command: cappa.Subcommands[KeyHashCommand]


def read_key(path: Path | None) -> str:
    """Return the key from a file or standard input, never from an argument."""
    try:
        text = path.read_text() if path is not None else sys.stdin.read()
    except (OSError, UnicodeDecodeError) as error:
        fail(ExitCode.USAGE, f"cannot read the key: {error}")
    if not text.strip():
        fail(ExitCode.USAGE, "the key is empty")
    return text.strip()
