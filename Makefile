# build, test, lint and run; see README.md
.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

lint:
	mvn -q -Dmaven.compiler.failOnWarning=true clean test-compile checkstyle:check

# The file that BALANCER_CONFIG names states all a router is told; README.md shows one.
run: build
	sh -c "$$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)"

clean:
	mvn -q clean
