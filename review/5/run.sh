#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 java -Xmx256m -cp review/lab/classes Case5 review/5
