"""Answer operators: views of state, publishing, metrics."""
