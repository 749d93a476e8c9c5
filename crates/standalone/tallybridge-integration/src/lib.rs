//! Whole-path tests: several nodes with back ends, callers and the platform's stand-ins.
