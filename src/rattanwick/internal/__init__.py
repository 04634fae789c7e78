"""Implementation of rattanwick; nothing here is a public interface."""
