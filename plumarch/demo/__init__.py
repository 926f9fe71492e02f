"""Demo of two deployments in one process under load and a data centre reclaim."""
