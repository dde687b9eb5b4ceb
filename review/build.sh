#!/bin/sh
# The stand-ins of the scripts are Python files of the standard library only; this checks them.
cd "$(dirname "$0")" && python3 -m compileall -q common [1-5]
