//! The log by itself.
