#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../target
go build -o ../../target/review-rig .
