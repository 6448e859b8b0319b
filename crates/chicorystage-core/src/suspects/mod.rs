//! Detection and quarantine of requests that crash endpoints.
//!
//! When an endpoint crashes, each request in progress may be the cause, and
//! nothing shows which one it was. All of them become suspects, identified by
//! the digest of their work. A suspect runs alone on an endpoint. If that
//! endpoint crashes too, the suspect is the only possible cause and its digest
//! is quarantined. If the suspect completes, it is cleared. Crashes of attempts
//! that did not run alone never lead to quarantine, however many there are.
//!
//! [`prompt_parts`] finds parts of prompts that crash endpoints in requests that differ otherwise.
//!
//! Routers send each other their suspects and quarantined digests. Each
//! decision carries a wall-clock time, and the newest decision wins. Only an
//! operator lifts a quarantine.

mod digest_status;
pub mod prompt_parts;
mod suspect_list;

pub use digest_status::DigestStatus;
pub use suspect_list::SuspectList;
