#!/usr/bin/env bash
# Makes the committed code of the peer messages from their schema.
set -euo pipefail
cd "$(dirname "$0")/../currantreel/src/Peer"
flatc --cpp --cpp-std c++17 -o Generated PeerMessage.fbs
