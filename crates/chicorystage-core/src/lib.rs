//! The decision logic of chicorystage, free of I/O and of clocks.
//!
//! Admission, routing, retries, placement, eviction, leases and the like are
//! state machines in this crate: time is passed in as an argument, effects are
//! returned as values. The daemons connect these state machines to sockets;
//! tests and the trace replay drive them with virtual time.
//!
//! # Parts
//!
//! * [`admission`]: bounded wait queue and load shedding.
//! * [`attempts`]: recorded frames of attempts, from which a connection resumes.
//! * [`choice`]: the router's choice of an endpoint for a request.
//! * [`claim`]: at-most-once execution of calls that are not idempotent.
//! * [`deployment`]: the declared configuration: routes, services, models.
//! * [`drain`]: when a draining agent may exit.
//! * [`events`]: splitting of a byte stream into complete events.
//! * [`evict`]: choice of the replicas to evict when memory is needed.
//! * [`fence`]: when an agent may send orders, and with which fencing token.
//! * [`fleet`]: endpoints that register themselves, and the gateway's choice among them.
//! * [`freshness`]: bounded staleness of the rules in force.
//! * [`inventory`]: the inventory in force and the checks on changes.
//! * [`keep_alive`]: how long idle replicas stay loaded, and when to load them again.
//! * [`latency`]: why an answer was late.
//! * [`lease`]: the lease on sending orders (load and unload commands) to engines.
//! * [`ledger`]: reservations of accelerator memory.
//! * [`limits`]: rate and concurrency limits of callers.
//! * [`orders`]: which engine should hold which models, and the orders that load them.
//! * [`permit`]: concurrency and rate limits on fetches from the weight store.
//! * [`placement`]: which VMs may load a model, and how slots move between VMs.
//! * [`planner`]: one placement decision, from the read of its row to the write.
//! * [`queue`]: the queue of attempts, ordered by class, fairness and deadline.
//! * [`quota`]: quotas of teams, held by all gateways together.
//! * [`registry`]: when an endpoint that is missing from the registry counts as gone.
//! * [`rendezvous`]: rendezvous hashing of keys to VMs.
//! * [`replicas`]: loaded, loading and unloading replicas of one endpoint.
//! * [`request_limit`]: limits that endpoints name, divided among gateways.
//! * [`retry`]: retry budgets and backoff.
//! * [`sequence`]: in-order delivery of an attempt's frames.
//! * [`slots`]: the placement slots that a VM holds.
//! * [`store_era`]: for how long the store has been in its era.
//! * [`stream_origins`]: the software version that began a stream.
//! * [`suspects`]: detection and quarantine of requests that crash endpoints.
//! * [`teams`]: teams that share a deployment, and their keys.
//! * [`token`]: SHA-256 digests of bearer tokens and of request contents.
//!
//! # Units of time
//!
//! `now_ms` is a reading of a monotonic clock in milliseconds. Its zero is
//! arbitrary; only differences between readings have a meaning.

pub mod admission;
pub mod attempts;
pub mod choice;
pub mod claim;
pub mod deployment;
pub mod drain;
pub mod events;
pub mod evict;
pub mod fence;
pub mod fleet;
pub mod freshness;
pub mod inventory;
pub mod keep_alive;
pub mod latency;
pub mod lease;
pub mod ledger;
pub mod limits;
pub mod orders;
pub mod permit;
pub mod placement;
pub mod planner;
pub mod queue;
pub mod quota;
pub mod registry;
pub mod rendezvous;
pub mod replicas;
pub mod request_limit;
pub mod retry;
pub mod sequence;
pub mod slots;
pub mod store_era;
pub mod stream_origins;
pub mod suspects;
pub mod teams;
pub mod token;
