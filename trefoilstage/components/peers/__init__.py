"""Call other hosts, and relay the log to hosts that can't reach it."""
