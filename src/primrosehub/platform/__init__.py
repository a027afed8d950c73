"""Encode and decode the outside platform's messages; make no decisions."""
