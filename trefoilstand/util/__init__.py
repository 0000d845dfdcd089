"""Pure helpers without state or I/O."""
