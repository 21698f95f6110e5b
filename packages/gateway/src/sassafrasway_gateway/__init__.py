"""The gateway process: routing, placement, forwarding and membership."""
