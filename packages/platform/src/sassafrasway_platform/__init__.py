"""Clients for the platform services that sassafrasway uses."""
