//! Stand-ins of the platform, engines and services for tests, and a fault proxy.
