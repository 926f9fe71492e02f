"""Quotas, admission control, queues, quarantine and retry budgets."""
