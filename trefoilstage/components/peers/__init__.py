"""Call other hosts and relay the log to those that are cut from it."""
