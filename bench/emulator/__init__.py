"""Emulate engines, hosts and callers in virtual time, without sockets."""
