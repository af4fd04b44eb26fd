"""Proxy on the users' platform: sessions, targets and the store view.

The daemon with the HTTP interface consists of `plugins` instead.
"""
