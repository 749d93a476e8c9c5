//! The program from outside: arguments, output, reports and exit codes.

mod files_and_help;
mod node_commands;
mod support;
