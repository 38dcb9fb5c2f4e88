"""Serving layer for model engines whose prompts differ widely in length."""
