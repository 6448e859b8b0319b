use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use chicorystage_api::name::TeamName;

use crate::teams::{
    KeyDigest, KeyHasher, Quota, QuotaUnit, Team, TeamDeclaration, TeamFault, TeamFaultKind,
};

/// The teams of a configuration, found by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct TeamDirectory {
    teams: Vec<Arc<Team>>,
    by_key: HashMap<KeyDigest, Arc<Team>>,
    /// Distinct priorities of the teams, the most urgent first.
    priorities: Vec<u8>,
}

impl TeamDirectory {
    /// Checks declarations and keeps the teams with the digests of their keys.
    ///
    /// # Errors
    ///
    /// Returns all faults, in the order of the declarations.
    pub fn new(
        declarations: Vec<TeamDeclaration>,
        hasher: &KeyHasher,
    ) -> Result<Self, Vec<TeamFault>> {
        let mut faults = Vec::new();
        let mut directory = Self::default();
        let mut numbers: HashMap<TeamName, usize> = HashMap::new();
        let mut owners: HashMap<KeyDigest, usize> = HashMap::new();
        for (number, declaration) in declarations.into_iter().enumerate() {
            let mut fault = |key, kind| {
                faults.push(TeamFault {
                    team: number,
                    key,
                    kind,
                });
            };
            check_numbers(&declaration, |kind| fault(None, kind));
            let name = TeamName::from(declaration.name.as_str());
            match numbers.entry(name) {
                Entry::Vacant(entry) => {
                    entry.insert(number);
                }
                Entry::Occupied(entry) => {
                    let kind = TeamFaultKind::SameName(declaration.name.clone(), *entry.get());
                    fault(None, kind);
                }
            }
            let team = Arc::new(team(&declaration));
            for (key_number, key) in declaration.keys.iter().enumerate() {
                if key.is_empty() {
                    fault(Some(key_number), TeamFaultKind::EmptyKey);
                    continue;
                }
                let digest = hasher.digest(key.as_bytes());
                let owner = *owners.entry(digest).or_insert(number);
                if owner != number {
                    fault(Some(key_number), TeamFaultKind::SharedKey(owner));
                }
                directory.by_key.insert(digest, Arc::clone(&team));
            }
            directory.teams.push(team);
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let priorities = directory.teams.iter().map(|team| team.priority);
        directory.priorities = priorities.collect();
        directory.priorities.sort_unstable();
        directory.priorities.dedup();
        Ok(directory)
    }

    /// Returns whether the configuration lists no team, so that no request needs a key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the teams in the order of the configuration.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.iter()
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn team(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// Returns the number of different priorities that teams have.
    #[must_use]
    pub fn priorities(&self) -> usize {
        self.priorities.len()
    }

    /// Returns the level of a team's priority among those of all teams; 0 is the most urgent.
    ///
    /// A request without a team comes after those of all teams.
    #[must_use]
    pub fn level(&self, team: Option<&Team>) -> u8 {
        let level = team.map_or(self.priorities.len(), |team| {
            let before = |priority: &u8| *priority < team.priority;
            self.priorities.partition_point(before)
        });
        u8::try_from(level).unwrap_or(u8::MAX)
    }
}

/// Reports what is wrong with a declaration apart from its keys.
fn check_numbers(declaration: &TeamDeclaration, mut fault: impl FnMut(TeamFaultKind)) {
    let name = &declaration.name;
    if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        fault(TeamFaultKind::Name(name.clone()));
    }
    let priority = declaration.priority;
    if priority.fract() != 0.0 || !(0.0..=f64::from(u8::MAX)).contains(&priority) {
        fault(TeamFaultKind::Priority(priority));
    }
    if !is_amount(declaration.per_s) {
        fault(TeamFaultKind::Rate(declaration.per_s));
    }
    if !is_amount(declaration.burst) {
        fault(TeamFaultKind::Burst(declaration.burst));
    }
    if let QuotaUnit::Tokens { plain } = declaration.unit
        && !is_amount(plain)
    {
        fault(TeamFaultKind::PlainTokens(plain));
    }
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn team(declaration: &TeamDeclaration) -> Team {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float saturates when it is cast; a priority out of range is a fault"
    )]
    let priority = declaration.priority as u8;
    Team {
        name: TeamName::from(declaration.name.as_str()),
        priority,
        quota: (declaration.per_s > 0.0).then_some(Quota {
            per_s: declaration.per_s,
            burst: declaration.burst,
            unit: declaration.unit,
        }),
    }
}
