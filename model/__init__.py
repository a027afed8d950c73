"""A specification of ownership, assignment and grants, and its exploration."""
