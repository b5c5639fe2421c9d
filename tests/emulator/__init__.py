"""Test the emulator, and policies under the loads that it generates."""
