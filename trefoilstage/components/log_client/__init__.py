"""Append records to the log and fold (apply) each record once, in offset order."""
