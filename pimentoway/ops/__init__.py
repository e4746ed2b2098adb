"""Scheduling of requests on back ends, independent of protocols."""
