"""News between nodes: heartbeats, sums of data centres, what they tell, and who tells whom."""
