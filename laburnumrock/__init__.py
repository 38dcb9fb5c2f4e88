"""Serving layer for model prompts whose lengths differ widely."""
