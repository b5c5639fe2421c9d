"""Test what is concluded from targets that end."""
