use std::sync::Arc;

use crate::teams::{KeyDigest, Team};

/// What the configuration says of a request's key.
#[derive(Clone, Debug)]
pub enum Access {
    /// The request needs no key and belongs to no team.
    Open,
    /// The key belongs to a team.
    Team(Arc<Team>, KeyDigest),
    /// The request needs a key and has none, or has one that no team holds.
    Denied,
}
