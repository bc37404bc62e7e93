#!/bin/bash
# Builds the stand-ins that the cases from review/4 on start, after the build of a deploy file. They
# use the jar's MessagePack codec and need nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -cp target/saltflow.jar -d target/review-2 review/standins-2/standins/*.java
