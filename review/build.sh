#!/bin/sh
# The stand-ins need the standard library of Python 3.11 alone; check that they compile.
cd "$(dirname "$0")" || exit 2
for file in standins.py [1-5]/case.py; do
    python3 -c "compile(open('$file').read(), '$file', 'exec')" || exit 1
done
