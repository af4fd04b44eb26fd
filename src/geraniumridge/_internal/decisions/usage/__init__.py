"""Counting of usage, and decisions about its reports."""
