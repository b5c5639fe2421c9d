"""Start one host on the platform."""

from trefoilstage.util.startup import prepare_imports

if __name__ == "__main__":
    prepare_imports()
    from trefoilstage.platform.process import main

    main()
