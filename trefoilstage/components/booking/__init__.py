"""Decide whether a call that may run once may run now, by intents on the log."""
