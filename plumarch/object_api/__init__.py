"""The platform's object API, cloud API and lists."""
