#!/usr/bin/env bash
cd "$(dirname "$0")" && exec timeout -s KILL 110 python3 case.py
