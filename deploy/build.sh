#!/bin/sh
# Installs the locked runtime requirements and orchidpath into target/deps. Only wheels are installed, so that no
# compiler is needed; deploy/requirements.lock has a wheel for each supported interpreter.
set -eu
mkdir -p target/deps
if [ ! -f target/deps/.requirements ] || ! cmp -s deploy/requirements.lock target/deps/.requirements; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --require-hashes --only-binary :all: \
        --target target/deps -r deploy/requirements.lock
    cp deploy/requirements.lock target/deps/.requirements
fi
rm -rf target/deps/orchidpath
cp -R src/orchidpath target/deps/orchidpath
python3 -m compileall -q target/deps
