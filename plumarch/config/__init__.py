"""Templates, workspace parameters, and the configuration in force."""
