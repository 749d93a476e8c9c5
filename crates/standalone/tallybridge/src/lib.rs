//! The tallybridge program, as a library so that another program can embed its command line.

pub mod command_line;
