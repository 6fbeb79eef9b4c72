#!/usr/bin/env bash
# Compiles the stand-ins and drivers of the review's cases. Needs the build of deploy/balancer.toml; fetches nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/beaconladder.jar ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
rm -rf review/out
mkdir -p review/out
javac -nowarn -d review/out -cp "target/beaconladder.jar:target/lib/*:target/grantors/*" review/src/review/*.java
