"""The sassafrasway entry instance."""
