#!/bin/sh
# The stand-ins of the cases 11 to 15 are in Python (its standard library alone)
# and need no build; the nodes are built by the command of the deploy file.
python3 -c 'import asyncio, json'
