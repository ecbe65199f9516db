//! Store lists that arrive in several pages.

use banyangauge::serving::Item;
use banyangauge::serving::Page;
use rstest::rstest;

use crate::rig::rev;

fn page(revision: u64, names: &[&str], more: bool) -> Page {
    Page {
        items: names.iter().map(|n| Item::empty(n)).collect(),
        unreadable: 1,
        more,
        revision: rev(revision),
    }
}

/// Guards against missed changes after a list with stale pages: each page is as old as the store
/// VM that served it, so the list must carry the oldest page's revision to read changes from.
#[rstest]
#[case::newer_page_last(5, 9, 5)]
#[case::older_page_last(9, 5, 5)]
fn append_keeps_oldest_revision(#[case] first: u64, #[case] second: u64, #[case] expected: u64) {
    let mut list = page(first, &["a"], true);
    list.append(page(second, &["b"], false));
    let names: Vec<_> = list.items.iter().map(|i| i.name.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(
        (list.revision, list.more, list.unreadable),
        (rev(expected), false, 2)
    );
}
