"""Track the other hosts of a forwarding fleet, and serve a host's metrics."""
