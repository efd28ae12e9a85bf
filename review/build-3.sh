#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They need the standard library only.
set -e
cd "$(dirname "$0")/rig-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../../target/rig3 .
