#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They have no dependencies and need no network.
set -e
cd "$(dirname "$0")/stand-2"
exec cargo build --release --offline --locked
