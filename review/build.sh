#!/bin/sh
# Builds the programs of the cases' scripts, which hold the stand-ins of the store, the servers and the clients.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/3 ./review/4 ./review/5
