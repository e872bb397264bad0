#!/bin/sh
# Builds the stand-ins of the cases. It needs nothing but the Go toolchain of the project.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/_lab
