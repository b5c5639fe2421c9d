"""Run a stand-in by `python -m standins`."""

from standins.main import main

main()
