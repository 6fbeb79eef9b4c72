# build, test, lint and run; see README.md
.PHONY: build test lint format run demo up rehearse clean

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

lint:
	mvn -q -Dmaven.compiler.failOnWarning=true clean test-compile checkstyle:check spotless:check

# Formats all Java files in place.
format:
	mvn -q spotless:apply

# The file that BALANCER_CONFIG names states all a router is told; README.md shows one.
run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)"

# Routers between stand-ins for some seconds: what they do while hosts drain and fail and a tenant moves.
demo: build
	java -jar target/beaconladder.jar lab demo

# The same, until it is ended: move a tenant by hand from another terminal.
up: build
	java -jar target/beaconladder.jar lab up

# The rehearsal of cells; another seed is another script: make rehearse SEED=7
SEED = 1
rehearse: build
	java -jar target/beaconladder.jar lab cells --seed $(SEED)

clean:
	mvn -q clean
