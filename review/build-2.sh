#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it after the build of
# deploy/system.toml, from any folder.
set -e
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/_lab2
