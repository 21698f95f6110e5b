"""Stand-ins for outside systems, load tool, history checker, benchmarks and demo.

The stand-ins take the place of the platform, the backend servers and the network between instances.
"""
