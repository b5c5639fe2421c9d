"""Test the emulator, and policies of the product on emulated days."""
