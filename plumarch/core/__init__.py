"""Plain data types, time, hashing and errors. Depends on no other part."""
