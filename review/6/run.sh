#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exit status: 0 the rule held, 1 it was
# broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
stand=$here/../../target/review-2/stand
if [ ! -x "$stand" ]; then
    echo "target/review-2/stand is missing: run review/build-2.sh" | tee "$here/record.txt"
    exit 2
fi
exec "$(cd "$(dirname "$stand")" && pwd)/stand" mistakes "$here"
