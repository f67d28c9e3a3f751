"""What an installation sets, read and checked before anything is opened; nothing here starts anything."""
