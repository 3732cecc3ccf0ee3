#!/bin/bash
# Moves a stream route to a service whose events hold several tokens. TROUBLE=0 leaves the route where it is.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wardspool-gateway ] && [ -x target/review/bed-2 ] || { echo "build first: the build line of deploy/system.toml and review/build-2.sh"; exit 2; }
exec target/review/bed-2 idgaps . "review/4/record.txt"
