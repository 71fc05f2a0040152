//! Open-loop load and experiment tool.
