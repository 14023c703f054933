"""Tests of the clients and HTTP interfaces of the users' platform."""
