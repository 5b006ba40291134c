#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the crash and the repeat.
cd "$(dirname "$0")" && exec timeout -k 1 119 python3 case.py
