//! Small stand-ins for model engines and plain services.
