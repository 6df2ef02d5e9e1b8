//! Integration tests, linked once.
