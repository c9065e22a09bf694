#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/12/case.mjs
