"""The operators' text: schema, checks and differences."""
