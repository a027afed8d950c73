"""Specifications of ownership, assignment and grants, and their exploration."""
