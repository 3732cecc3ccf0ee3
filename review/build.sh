#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review cases into review/target/. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
go build -o target/review-bed ./bed
