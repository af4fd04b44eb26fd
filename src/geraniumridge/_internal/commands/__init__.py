"""Commands of the operators' tool, one class each."""
