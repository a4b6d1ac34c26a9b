//! Library behind `waxwingctl`, the operators' command line of waxwingrouter.

pub mod load;
