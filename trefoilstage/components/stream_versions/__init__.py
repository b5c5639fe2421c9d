"""Remember, over all hosts, which version of a target began each stream."""
