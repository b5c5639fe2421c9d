"""Choose a target for a chat call by what prompts it has read and its load."""
