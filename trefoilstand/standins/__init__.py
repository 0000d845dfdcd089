"""Test doubles for the platform, the store and targets.

They serve demonstrations, tests and measurements on one machine and are
not part of a deployment.
"""
