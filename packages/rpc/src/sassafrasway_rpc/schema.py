"""Thrift schema modules, loaded once at import.

The modules are built at run time by thriftpy2, so no generated code is kept.
"""

import pathlib

import thriftpy2

_DIRECTORY = pathlib.Path(__file__).parent


def _load(name: str):
    return thriftpy2.load(str(_DIRECTORY / f"{name}.thrift"), module_name=f"{name}_thrift")


common = _load("common")
config = _load("config")
control = _load("control")
forward = _load("forward")
