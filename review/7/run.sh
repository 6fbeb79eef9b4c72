#!/bin/sh
# Exit code: 1 the rule was broken, 0 it was kept, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || { echo "first run review/build-2.sh"; exit 2; }
timeout -k 5 110 java -Djava.net.preferIPv4Stack=true -cp 'target/review-2:target/beaconladder.jar:target/lib/*' \
    beaconladder.testbed.GoneClientCase review/7
case $? in
    40) exit 0 ;;
    41) exit 1 ;;
    *) exit 2 ;;
esac
