"""Hold tokens for requests from escrow: prepaid tokens that a home draws in advance."""
