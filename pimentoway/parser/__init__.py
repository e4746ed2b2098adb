"""Readers of settings and declarations in INI form."""
