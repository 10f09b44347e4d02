//! Settings and declaration files, in JSON with comments.
//!
//! [`declaration`] turns the texts of all declaration files into one validated
//! [`Declaration`](banyan_core::declaration::Declaration); [`settings`] reads a daemon's own file.
//! Every error gives file, line, column and field, what is allowed, and the remedy, see [`error`].

mod check;
pub mod declaration;
pub mod error;
pub mod layers;
pub mod limits;
mod reader;
mod rows;
pub mod settings;

pub use declaration::merge_files;
pub use declaration::validate_files;
