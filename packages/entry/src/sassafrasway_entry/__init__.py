"""Entry instance: answers lookups of callers and carries their requests to backend servers."""
