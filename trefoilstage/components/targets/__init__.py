"""Know the targets: which may get work, whether they answer, what they hold."""
