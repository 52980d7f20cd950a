"""Link and retry budgets, of which each process spends its own share."""
