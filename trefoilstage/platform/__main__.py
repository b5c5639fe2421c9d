"""Start one host on the platform."""

from trefoilstage.util.startup import prepare_imports

if __name__ == "__main__":
    prepare_imports()
    from trefoilstage.platform.early_start import open_early_socket

    early_socket = open_early_socket()
    from trefoilstage.platform.process import main

    main(early_socket)
