//! The program from outside: arguments, output, reports and exit codes.

mod config_commands;
mod explain_logs;
mod files_and_help;
mod node_commands;
mod node_process;
mod support;
