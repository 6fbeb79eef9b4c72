#!/bin/sh
# Builds the stand-ins and checks of the second review (review/6 to review/10), after the build of the deploy file.
# The project's own stand-ins, which they use, are in target/beaconladder.jar already.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2 && mkdir -p target/review-2 || exit 2
javac -nowarn -d target/review-2 -cp 'target/beaconladder.jar:target/lib/*' \
    review/stand-ins-2/beaconladder/testbed/*.java
