"""State kept in the table service: claims, leases, lists, grants."""
