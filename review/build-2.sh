#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The build line of deploy/system.toml builds the nodes.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-2 ./review/standins-2
