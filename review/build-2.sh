#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start. They
# are all written in Python's standard library and run inside the script's own
# process, so there is nothing to compile; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for it in common-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$it" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$it"
done
echo "stand-ins are ready"
