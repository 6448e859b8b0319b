//! Messages, errors and codecs shared by every process of chicorystage.
//!
//! The router, the agent, the operator's tool and the test bed agree on the
//! types of this crate and on nothing else. It holds no policy and does no
//! I/O; decisions live in `chicorystage-core` and sockets in
//! `chicorystage-borders` and in the programs.
//!
//! # Parts
//!
//! * [`name`]: shared immutable names ([`ModelName`](name::ModelName) and its kin).
//! * [`admin`]: answers of the administration API.
//! * [`inventory`]: what operators declare: models, adapters, applications,
//!   callers, operators and rules, and the changes made to them.
//! * [`work`]: one attempt of one request, sent by a router to an agent, and
//!   the [`Frame`](work::Frame)s that answer it.
//! * [`refusal`]: stable refusal codes with their honest outcome.
//! * [`peer`]: control messages between routers and agents.
//! * [`finding`]: problems in operator input, collected with their place.
//!
//! # Limits
//!
//! Everything is JSON. A frame carries one token or one chunk of a body, so
//! the codec is on the hot path; its visitor is written by hand and the other
//! types derive theirs.

pub mod admin;
pub mod finding;
pub mod inventory;
pub mod name;
pub mod peer;
pub mod refusal;
pub mod work;
