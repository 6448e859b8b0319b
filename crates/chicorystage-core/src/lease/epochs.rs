use crate::store_era::StoreEra;

/// Epoch of the first holder where the store states no era.
pub const FIRST_EPOCH: u64 = 1;
/// Number of epochs reserved for each era of the store; more than it gives out versions.
const EPOCHS_PER_ERA: u64 = 1 << 32;

/// Returns the least epoch under which a row of a version may be replaced in an era of the store.
///
/// Once the store has returned from an older copy, nobody may remember the highest epoch. Each
/// version is replaced once in an era, so epochs above it have not been used.
pub(super) fn least_epoch(era: StoreEra, expected_version: u64) -> u64 {
    if era.number() == 0 {
        return FIRST_EPOCH;
    }
    era.number() * EPOCHS_PER_ERA + expected_version + 1
}
