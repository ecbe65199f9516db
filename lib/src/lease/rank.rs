//! Which candidate tries first.

use crate::ids::PoolName;
use crate::ids::VmName;

/// A candidate's place in the order in which candidates try for a pool.
///
/// Made for many pools and few VMs: a rendezvous hash spreads pools evenly and
/// moves only a lost VM's pools; without it one VM would win all of them. The
/// order is advice, the conditional update decides.
///
/// ```
/// use banyangauge::ids::{PoolName, VmName};
/// let pool = PoolName::new("assistant").unwrap();
/// let (a, b) = (VmName::new("a").unwrap(), VmName::new("b").unwrap());
/// let ranks = [&a, &b].map(|me| banyangauge::lease::rank(&pool, me, [&a, &b]));
/// assert_eq!(ranks.iter().sum::<u64>(), 1);
/// ```
pub fn rank<'a>(pool: &PoolName, me: &VmName, live: impl IntoIterator<Item = &'a VmName>) -> u64 {
    let score = |vm: &VmName| {
        let text = format!("{pool}/{vm}");
        (xxhash_rust::xxh3::xxh3_64(text.as_bytes()), vm.clone())
    };
    let mine = score(me);
    live.into_iter()
        .filter(|vm| *vm != me && score(vm) > mine)
        .count() as u64
}
