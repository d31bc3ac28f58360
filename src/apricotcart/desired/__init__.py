"""The desired state that operators declare, as one versioned document."""
