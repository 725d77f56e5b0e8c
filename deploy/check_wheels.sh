#!/bin/sh
# Checks that each package in deploy/requirements.lock has a wheel for every supported architecture and interpreter.
# Nothing is installed. Usage: sh deploy/check_wheels.sh [PYTHON], where PYTHON has pip.
set -eu
python="${1:-python3}"
for architecture in x86_64 aarch64; do
    for version in 3.11 3.12 3.13; do
        if ! "$python" -m pip install -qq --disable-pip-version-check --dry-run --ignore-installed --no-deps \
            --require-hashes --only-binary :all: --implementation cp --python-version "$version" \
            --platform "manylinux2014_$architecture" --platform "manylinux_2_17_$architecture" \
            --platform "manylinux_2_28_$architecture" --target target/wheels -r deploy/requirements.lock
        then
            echo "deploy/requirements.lock: a package lacks a wheel for Python $version on $architecture" >&2
            exit 1
        fi
    done
done
