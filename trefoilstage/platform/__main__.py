"""Start one host on the platform."""

import signal

from trefoilstage.util.startup import prepare_imports

if __name__ == "__main__":
    # Until its handler is installed, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    prepare_imports()
    from trefoilstage.platform.early_start import open_early_socket

    early_socket = open_early_socket()
    from trefoilstage.platform.process import main

    main(early_socket)
