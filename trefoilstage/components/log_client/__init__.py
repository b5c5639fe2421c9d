"""Append records to the log and fold each of its records once, in offset order."""
