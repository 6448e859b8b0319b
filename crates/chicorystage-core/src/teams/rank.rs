/// Place of a request among those that wait; a lower one is served first.
///
/// The priority of a team goes before that of the route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Level of the team's priority among those of the configuration; 0 is the most urgent.
    pub team: u8,
    /// Priority of the route; 0 is the most urgent.
    pub route: u8,
}
