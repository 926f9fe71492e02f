"""Queues, fair shares and retry budgets."""
