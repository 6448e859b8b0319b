//! Messages, errors and codecs shared by every process of chicorystage.
//!
//! The types of this crate are the only interface between the router, the
//! agent, the operator's tool and the test bed. The crate makes no decisions
//! and does no I/O; decisions are made in `chicorystage-core`, sockets are
//! handled by `chicorystage-borders` and the programs.
//!
//! # Parts
//!
//! * [`name`]: shared immutable names ([`ModelName`](name::ModelName) and others).
//! * [`admin`]: answers of the admin API.
//! * [`choice`]: where a request would go now, and why.
//! * [`inventory`]: what operators declare: models, adapters, applications,
//!   callers, operators and rules, and the changes made to them.
//! * [`work`]: one attempt of one request, sent by a router to an agent, and
//!   the [`Frame`](work::Frame)s that answer it.
//! * [`refusal`]: stable refusal codes, and whether a refused request may have run.
//! * [`peer`]: control messages between routers and agents.
//! * [`finding`]: problems in operator input, with file and line.
//!
//! # Encoding
//!
//! All messages are JSON. A frame carries one token or one chunk of a body, so
//! its codec is on the hot path and is written by hand; the other types derive
//! theirs.

pub mod admin;
pub mod choice;
pub mod finding;
pub mod inventory;
pub mod name;
pub mod peer;
pub mod refusal;
pub mod work;
