"""Start a stand-in with `python -m standins`."""

from standins.main import main

main()
