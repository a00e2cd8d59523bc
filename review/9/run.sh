#!/usr/bin/env bash
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec timeout 110 python3 case.py
