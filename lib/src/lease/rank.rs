//! The order in which candidates contend for a pool.

use crate::ids::PoolName;
use crate::ids::VmName;

/// Returns how many live candidates contend for a pool before `me`; 0 is first.
///
/// Rendezvous hashing spreads many pools evenly over few VMs and moves only the
/// pools of a VM that is lost; without it one VM would acquire all pools. The
/// order only avoids contention: the conditional update decides who wins.
///
/// ```
/// use banyangauge::ids::{PoolName, VmName};
/// let pool = PoolName::new("assistant").unwrap();
/// let (a, b) = (VmName::new("a").unwrap(), VmName::new("b").unwrap());
/// let ranks = [&a, &b].map(|me| banyangauge::lease::rank(&pool, me, [&a, &b]));
/// assert_eq!(ranks.iter().sum::<u64>(), 1);
/// ```
pub fn rank<'a>(pool: &PoolName, me: &VmName, live: impl IntoIterator<Item = &'a VmName>) -> u64 {
    let weight = |vm: &VmName| {
        let text = format!("{pool}/{vm}");
        (xxhash_rust::xxh3::xxh3_64(text.as_bytes()), vm.clone())
    };
    let own = weight(me);
    live.into_iter()
        .filter(|vm| *vm != me && weight(vm) > own)
        .count() as u64
}
