#!/bin/sh
# The stand-ins use only the standard library of Python: there is nothing to build.
# Checks that what the build of the deploy file makes for the daemons is there.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -c "import aiohttp, grpc"
