"""Forward callers' requests to targets, each within its budget and once."""
