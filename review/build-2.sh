#!/bin/sh
# Builds the checks and stand-ins of the second review (review/6 to review/10) and, of the project's own stand-ins, those that
# they use, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2 && mkdir -p target/review-2 || exit 2
own=src/main/java/beaconladder/testbed
javac -nowarn -d target/review-2 -cp 'target/beaconladder.jar:target/lib/*' \
    review/stand-ins-2/beaconladder/testbed/*.java \
    $own/HostStandIn.java $own/ReplicatedHost.java $own/HostFleet.java $own/DiscoveryStandIn.java \
    $own/ChangeLog.java $own/Capacity.java $own/StandInThreads.java
