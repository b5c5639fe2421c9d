"""Share what several parts need: codecs, events, dumps, metrics."""
