"""Model and steering decisions of sassafrasway."""
