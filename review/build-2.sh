#!/bin/bash
# Checks that the stand-ins of cases 4 to 8 can be loaded. They are written in Python on
# its standard library, so there is nothing to build and no package to install.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import review.standins2.engines, review.standins2.runner"
