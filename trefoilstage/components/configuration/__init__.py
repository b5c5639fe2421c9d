"""Publish configuration on the log and say which version is in force."""
