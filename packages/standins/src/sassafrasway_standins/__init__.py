"""Stand-ins for outside systems, load tool, history checker and benchmarks."""
