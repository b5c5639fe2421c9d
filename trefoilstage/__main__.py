"""Run the daemon by `python -m trefoilstage`."""

from trefoilstage.daemon import main

main()
