"""Detect which hosts are live, and announce this host in the log."""
