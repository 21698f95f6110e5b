"""Clients of the platform services that sassafrasway uses.

Entry instances use the table service and the instance list, gateway instances the followed store of
module ``feed``.
"""
