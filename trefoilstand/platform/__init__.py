"""The edge towards the platform's services, which are only read."""
