"""Hold the parts of a host, one folder each."""
