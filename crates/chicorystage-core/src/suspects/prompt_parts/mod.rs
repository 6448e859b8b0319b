//! Detection of a prompt part that crashes each endpoint that begins to answer it.
//!
//! Requests with such a part need not be alike in anything else, so that a count by request never
//! passes one. When an endpoint crashes, each shared part of a prompt that it had begun to answer, or
//! not begun yet, may be the cause. Two observations tell the cause from the other parts:
//!
//! * A part of an answer that got past its beginning is sound, as is every other part of its prompt.
//! * The cause is in each crash that it explains, while other parts are there by chance.
//!
//! Endpoints that crash together for another reason count once, however long it takes to notice: only
//! attempts that began after the crash before are in a row. Where requests wait long at endpoints, few are.
//! [`PartEvidence::culprit`] names a part after three crashes in a row during answers that had begun, or
//! after three in a row among five at different times. Of several it takes the one in most crashes, then
//! one that was never answered, then the one deepest in the prompt, as requests share the parts before it,
//! then the one in fewest requests. That a part was answered long ago does not prove it sound, but on a route
//! with few requests there may be nothing else that tells it from the cause.
//!
//! Likelihood decides only among parts that could be the cause of the same crashes: a part of one crash says
//! nothing of another one that is in five.
//!
//! Where nothing but its position tells a part from others, the choice may be wrong, and sound requests
//! would be refused for good. A request that has the part and not all of the others tells: one is let
//! through at a time ([`PartEvidence::is_telling`]). If it is answered, the part is sound and the next
//! likely one is the cause; if it crashes its endpoint, the parts that it lacks are not.
//!
//! Each process sees only its own requests, so processes tell each other what they see at a crash as a
//! [`CrashReport`], and which of the reported parts they know to be sound or to have been.
//!
//! # Limits
//!
//! A part that crashes endpoints long after the beginning of an answer is not found. Neither is one
//! that crashes one software version of a service only, as answers of the others prove it sound.

mod broken_request;
mod candidate;
mod crash_report;
mod culprit;
mod part_at_crash;
mod part_evidence;
mod part_history;
mod recorded_crash;
mod service_part;
mod sound_parts;
mod verdict;

pub use broken_request::BrokenRequest;
pub use candidate::Candidate;
pub use crash_report::CrashReport;
pub use culprit::Culprit;
pub use part_at_crash::PartAtCrash;
pub use part_evidence::PartEvidence;
pub use service_part::ServicePart;
pub use verdict::Verdict;
