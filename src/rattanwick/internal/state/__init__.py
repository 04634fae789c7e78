"""State that is stored in the table: claims, leases, lists, grants; and orders."""
