"""Keep the power draw of each site under its ceiling."""
