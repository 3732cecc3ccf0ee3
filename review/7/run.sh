#!/bin/bash
# Kills nine gateways at once and starts six of them again while the seeds stay down. TROUBLE=0 kills none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wardspool-gateway ] && [ -x target/review/bed-2 ] || { echo "build first: the build line of deploy/system.toml and review/build-2.sh"; exit 2; }
exec target/review/bed-2 loneowners . "review/7/record.txt"
