"""What callers ask: their connections, requests, identity and admission."""
