#!/bin/bash
# Compiles the stand-ins of the review's cases against target/saltflow.jar, which the build line of the deploy file makes.
# Writes to target/review only; needs javac and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/saltflow.jar ] || { echo "target/saltflow.jar is missing: run the build line of deploy/service.toml first"; exit 2; }
mkdir -p target/review
javac --release 17 -nowarn -cp target/saltflow.jar -d target/review review/standins/*.java
