//! Serving system for generations of unknown length on crowded engines.
