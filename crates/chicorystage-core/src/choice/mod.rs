//! Which endpoint a request goes to.
//!
//! Each answer carries its endpoint's load at that moment. The report is old
//! as soon as it is made, so it is corrected by what this router itself has
//! sent there and got back since; what others have there is taken from the
//! report and fades as it ages. The candidate with the least estimated wait
//! wins. A likely cached prompt prefix and the router's own availability zone
//! are worth a few milliseconds: they decide between equals and never outweigh
//! a queue. An endpoint whose agent did not answer is passed over for a few
//! seconds where there is another, since the list of VMs learns of it late.
//!
//! Memory is one record for each endpoint used lately and a bounded number of
//! prefix hints.

mod candidate;
mod endpoint_book;
mod endpoint_record;
mod preference;
mod prefix_hints;

pub use candidate::Candidate;
pub use endpoint_book::EndpointBook;
pub use preference::Preference;
pub use prefix_hints::{PrefixHints, prefix_key};
