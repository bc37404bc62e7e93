#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] || bash review/build.sh || exit 2
exec java -Xmx256m -cp target/saltflow.jar:target/review ConfirmOfAnotherChannel deploy/queues.toml review/3/record.txt
