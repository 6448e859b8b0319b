use std::collections::HashMap;

use chicorystage_api::name::{PromptPartId, ServiceName};

use crate::suspects::prompt_parts::ServicePart;

/// Time for which an answer that got past its beginning proves the parts of its prompt sound, in
/// milliseconds; software that changes may crash on a part later.
const SOUND_MS: u64 = 10_000;
/// Time for which a part that was once sound is remembered, in milliseconds.
const REMEMBERED_MS: u64 = 3_600_000;
/// Largest number of parts that are kept.
const PARTS_MAX: usize = 16_384;

/// Parts of prompts that endpoints have answered.
///
/// A part is sound for a while after an answer. Afterwards it may be the cause of a crash again, but is
/// a less likely one than a part that was never answered.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundParts {
    parts: HashMap<ServicePart, Soundness>,
}

/// What is known of a part that was answered.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "the unit is the suffix of each field"
)]
struct Soundness {
    /// Time of the last answer that got past its beginning; `None` if it is not known.
    answered_ms: Option<u64>,
    /// Last time at which a process told all others that the part is sound; `None` if none did.
    told_ms: Option<u64>,
    /// The same, that it was sound some time ago, which says less.
    told_former_ms: Option<u64>,
    /// Time of the last change of this record.
    changed_ms: u64,
}

impl SoundParts {
    /// Records an answer to a prompt with a part; `is_told` is whether all processes learn of it.
    pub fn answered(&mut self, now_ms: u64, part: ServicePart, is_told: bool) {
        let soundness = self.soundness(now_ms, part);
        soundness.answered_ms = Some(now_ms);
        if is_told {
            soundness.told_ms = Some(now_ms);
        }
    }

    /// Records that another process has told all others of an answer some time ago.
    pub fn was_answered(&mut self, now_ms: u64, part: ServicePart) {
        self.soundness(now_ms, part).told_former_ms = Some(now_ms);
    }

    /// Returns whether a part is known to be sound.
    pub fn is_sound(&self, now_ms: u64, part: &ServicePart) -> bool {
        let soundness = self.parts.get(part);
        let answered_ms = soundness.and_then(|soundness| soundness.answered_ms);
        answered_ms.is_some_and(|answered_ms| now_ms < answered_ms + SOUND_MS)
    }

    /// Returns whether a part was ever known to be sound.
    pub fn was_sound(&self, part: &ServicePart) -> bool {
        self.parts.contains_key(part)
    }

    /// Returns which of the parts no process has told the others of since `since_ms`, and counts them
    /// as told now.
    pub fn take_untold(
        &mut self,
        now_ms: u64,
        since_ms: u64,
        service: &ServiceName,
        parts: Vec<PromptPartId>,
    ) -> Vec<PromptPartId> {
        let untold = parts.into_iter().filter(|part| {
            let key = ServicePart::new(service, part);
            let is_sound = self.is_sound(now_ms, &key);
            let Some(soundness) = self.parts.get_mut(&key) else {
                return false;
            };
            let told_ms = if is_sound {
                soundness.told_ms
            } else {
                soundness.told_ms.max(soundness.told_former_ms)
            };
            let is_untold = told_ms.is_none_or(|told_ms| told_ms < since_ms);
            if is_untold && is_sound {
                soundness.told_ms = Some(now_ms);
            } else if is_untold {
                soundness.told_former_ms = Some(now_ms);
            }
            is_untold
        });
        untold.collect()
    }

    /// Returns the record of a part; forgets old ones if there are too many.
    fn soundness(&mut self, now_ms: u64, part: ServicePart) -> &mut Soundness {
        self.forget_older(now_ms, REMEMBERED_MS);
        self.forget_older(now_ms, SOUND_MS);
        if self.parts.len() >= PARTS_MAX {
            // What is forgotten is proved anew by the next answers.
            self.parts.clear();
        }
        let soundness = self.parts.entry(part).or_insert(Soundness {
            answered_ms: None,
            told_ms: None,
            told_former_ms: None,
            changed_ms: now_ms,
        });
        soundness.changed_ms = now_ms;
        soundness
    }

    /// Forgets the parts that have not changed for a time in milliseconds, if there are too many.
    fn forget_older(&mut self, now_ms: u64, age_ms: u64) {
        if self.parts.len() >= PARTS_MAX {
            self.parts
                .retain(|_, soundness| now_ms < soundness.changed_ms + age_ms);
        }
    }
}
