//! Operators' command line for waxwingrouter.

pub mod arguments;
pub mod client;
pub mod command;
pub mod error;
pub mod exit;
pub mod key_file;
pub mod load;
pub mod output;
pub mod subtree;

pub use error::Error;
pub use error::Result;
pub use exit::Exit;
