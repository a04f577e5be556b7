"""Stand-ins, load tool and history checker."""
