"""Durable state: SQLite databases, snapshot files and a content store, all safe against crashes."""
