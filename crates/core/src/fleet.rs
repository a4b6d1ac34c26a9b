//! One reading of the log service for the whole fleet.
//!
//! A few VMs read the configuration and the list of endpoints, and the others ask them. Each VM knows how old what it
//! believes is, and reads by itself before a bound would be missed, so a reader that is lost, paused or cut off costs
//! calls but no bound. Everything here is pure; the processes pass it the clock.

pub mod readers;
pub mod revisions;
pub mod summary;
pub mod sync_state;
pub mod view;

pub use readers::Member;
pub use summary::Summary;
pub use sync_state::Role;
pub use sync_state::SyncState;
pub use sync_state::Timing;
pub use view::Feed;
