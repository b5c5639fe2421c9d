"""Serve the operators' HTTP interface and send metrics."""
