//! Selection of the endpoint for a request by estimated wait.
//!
//! Each answer carries the load of its endpoint at that moment, but a report is outdated as soon
//! as it is made. The router therefore corrects it by its own attempts that started and ended
//! since. The load of other routers is taken from the report and decays with the report's age.
//! The candidate with the least estimated wait is chosen.
//!
//! A probably cached prompt prefix subtracts 40 ms from an endpoint's estimate, and a location in
//! another availability zone than the router's adds 3 ms. These terms decide between endpoints of
//! similar wait and do not outweigh a longer queue. An endpoint whose agent did not answer is
//! avoided for a few seconds if there is another candidate, because the list of VMs reflects a
//! failure late.
//!
//! Memory is one record per recently used endpoint and a bounded number of prefix hints.

mod candidate;
mod chosen_endpoint;
mod endpoint_record;
mod endpoint_tracker;
mod prefix_hints;

pub use candidate::Candidate;
pub use chosen_endpoint::ChosenEndpoint;
pub use endpoint_tracker::EndpointTracker;
pub use prefix_hints::{PrefixHints, prefix_key};
