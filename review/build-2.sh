#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: Python without dependencies.
cd "$(dirname "$0")/.." && python3 -m compileall -q review/kit-2
