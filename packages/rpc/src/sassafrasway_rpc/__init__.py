"""Thrift schema and asyncio transport of sassafrasway."""
