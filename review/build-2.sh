#!/bin/sh
# Builds the stand-ins of the scripts of the second review (cases 4 and 5, and of what was withdrawn).
cd "$(dirname "$0")/rig-2" || exit 2
exec cargo build --release --offline
