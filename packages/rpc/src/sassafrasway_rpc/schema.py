"""Thrift schema modules, loaded once at import.

thriftpy2 builds the modules from the ``.thrift`` files at run time; there is no generated code.
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
