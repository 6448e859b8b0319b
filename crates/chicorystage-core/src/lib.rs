//! Decisions of chicorystage, without I/O and without a clock.
//!
//! Everything that decides who may do what, and when, is a state machine here:
//! time comes in as an argument, effects go out as values. The daemons wire
//! these machines to sockets; tests and the trace replay drive them with
//! virtual time.
//!
//! # Parts
//!
//! * [`admission`]: which requests may wait.
//! * [`attempts`]: recorded frames of attempts, for resuming them.
//! * [`choice`]: which endpoint a request goes to.
//! * [`claim`]: calls that are not idempotent run at most once.
//! * [`deployment`]: the configuration that an operator declared: routes, services, models.
//! * [`drain`]: when a leaving agent may exit.
//! * [`events`]: whole events of a stream.
//! * [`evict`]: which replicas give way when memory is needed.
//! * [`fence`]: when an agent may give orders, and under which number.
//! * [`fleet`]: endpoints that register themselves, and which takes a request.
//! * [`freshness`]: whether the rules in force may still be used.
//! * [`inventory`]: the inventory in force and what it allows.
//! * [`keep_alive`]: how long idle replicas stay, and when they return.
//! * [`lease`]: which router gives orders to engines.
//! * [`ledger`]: reservations of accelerator memory.
//! * [`limits`]: rate and concurrency of a caller.
//! * [`orders`]: which engine holds which models, and the orders for it.
//! * [`permit`]: pacing of fetches from the weight store.
//! * [`placement`]: which VMs may load a model, and how slots move.
//! * [`planner`]: one decision about slots, carried through the table.
//! * [`queue`]: attempts that wait, by class, fairness and deadline.
//! * [`rendezvous`]: the order in which VMs are tried for a key.
//! * [`replicas`]: loads and unloads of one endpoint.
//! * [`retry`]: when a failed attempt may be followed by another.
//! * [`sequence`]: the order of an attempt's frames.
//! * [`slots`]: the slots that a VM holds.
//! * [`suspects`]: requests that crash endpoints.
//! * [`token`]: digests of bearer tokens and of work.
//!
//! # Units of time
//!
//! `now_ms` is a reading of a monotonic clock in milliseconds. Only
//! differences of it mean anything.

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
pub mod lease;
pub mod ledger;
pub mod limits;
pub mod orders;
pub mod permit;
pub mod placement;
pub mod planner;
pub mod queue;
pub mod rendezvous;
pub mod replicas;
pub mod retry;
pub mod sequence;
pub mod slots;
pub mod suspects;
pub mod token;
