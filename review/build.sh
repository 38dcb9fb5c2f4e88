#!/bin/sh
# The stand-ins are Python modules of the project and of this folder; they need no build of their
# own beyond the libraries that the build of the deploy file puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c "import laburnumrock.platform.soak._run, laburnumrock.standins"
