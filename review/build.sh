#!/bin/sh
# Builds the stand-ins of the review's scripts. The build of deploy/system.toml comes first.
cd "$(dirname "$0")/.." || exit 2
CGO_ENABLED=0 go build -tags review -o target/review/standins ./review/standins
