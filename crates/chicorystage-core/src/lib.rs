//! Decisions of chicorystage, without I/O and without a clock.
//!
//! Everything that decides who may do what, and when, is a state machine here:
//! time comes in as an argument, effects go out as values. The daemons wire
//! these machines to sockets; tests and the trace replay drive them with
//! virtual time.
//!
//! # Parts
//!
//! * [`attempts`]: recorded frames of attempts, for resuming them.
//! * [`claim`]: calls that are not idempotent run at most once.
//! * [`drain`]: when a leaving agent may exit.
//! * [`fence`]: when an agent may give orders, and under which number.
//! * [`freshness`]: whether the rules in force may still be used.
//! * [`inventory`]: the inventory in force and what it allows.
//! * [`ledger`]: reservations of accelerator memory.
//! * [`permit`]: pacing of fetches from the weight store.
//! * [`placement`]: which VMs may load a model, and how slots move.
//! * [`planner`]: one decision about slots, carried through the table.
//! * [`queue`]: attempts that wait, by class, fairness and deadline.
//! * [`rendezvous`]: the order in which VMs are tried for a key.
//! * [`replicas`]: loads and unloads of one endpoint.
//! * [`sequence`]: the order of an attempt's frames.
//! * [`slots`]: the slots that a VM holds.
//! * [`token`]: digests of bearer tokens and of work.
//!
//! # Units of time
//!
//! `now_ms` is a reading of a monotonic clock in milliseconds. Only
//! differences of it mean anything.

pub mod attempts;
pub mod claim;
pub mod drain;
pub mod fence;
pub mod freshness;
pub mod inventory;
pub mod ledger;
pub mod permit;
pub mod placement;
pub mod planner;
pub mod queue;
pub mod rendezvous;
pub mod replicas;
pub mod sequence;
pub mod slots;
pub mod token;
