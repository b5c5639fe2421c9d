"""Run the daemon with `python -m trefoilstage`."""

from trefoilstage.util.startup import prepare_imports


def main() -> None:
    """Start the daemon."""
    prepare_imports()
    from trefoilstage.daemon import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    main()
