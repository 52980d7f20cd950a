"""The budgets that operators set, kept by each process in shares."""
