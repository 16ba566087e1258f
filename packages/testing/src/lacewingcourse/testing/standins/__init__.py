"""Small stand-ins for the systems that the deployment brings."""
