"""Interfaces between the product and what it runs on."""
