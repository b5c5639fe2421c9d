"""Start one host on the platform."""

import gc

if __name__ == "__main__":
    # What is loaded at the start stays for good, and the collector looked through all
    # of it again and again, for a tenth of the time in which the callers of a killed
    # host are turned away. The host turns it on once it has started.
    gc.disable()
    from trefoilstage.platform.process import main

    main()
