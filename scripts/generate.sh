#!/usr/bin/env bash
# Regenerates the committed C++ code of the peer messages from their FlatBuffers schema.
set -euo pipefail
cd "$(dirname "$0")/../currantreel/src/Peer"
flatc --cpp --cpp-std c++17 -o Generated PeerMessage.fbs
