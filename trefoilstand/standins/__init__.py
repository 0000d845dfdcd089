"""Small stand-ins for the platform and for targets.

They serve demonstrations, tests and measurements on one machine and are
no part of a deployment.
"""
