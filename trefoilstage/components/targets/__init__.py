"""Track targets and their health and load, and run requests at them."""
