"""Clients of the platform services that sassafrasway uses."""
