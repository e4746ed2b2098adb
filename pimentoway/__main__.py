"""Runs the command line of the system."""

import importlib
import sys

from pimentoway.tools import early

early.ignore_early_reload(sys.argv[1:])
sys.exit(importlib.import_module('pimentoway.tools.launch').main())
