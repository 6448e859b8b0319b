//! Teams that share a deployment: their keys, priorities and quotas.
//!
//! A request proves with an API key which team it belongs to. The configuration lists the keys of each
//! team; [`TeamDirectory`] finds the team of a key without keeping any key. [`ConfirmedView`] tells how
//! old the configuration may be, so that a key is not accepted for long after it was withdrawn.
//!
//! A configuration without teams needs no keys, and nothing in this module applies.

mod access;
mod confirmed_view;
mod key_hasher;
mod quota;
mod rank;
mod team;
mod team_declaration;
mod team_directory;
mod team_fault;

pub use access::Access;
pub use confirmed_view::ConfirmedView;
pub use key_hasher::{KeyDigest, KeyHasher};
pub use quota::{Quota, QuotaUnit};
pub use rank::Rank;
pub use team::Team;
pub use team_declaration::TeamDeclaration;
pub use team_directory::TeamDirectory;
pub use team_fault::{TeamFault, TeamFaultKind};
