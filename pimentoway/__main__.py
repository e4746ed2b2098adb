"""Runs the command line of the system."""

import sys

from pimentoway.tools import launch

sys.exit(launch.main())
