"""Data model and decision logic of sassafrasway, without network or disk access."""
