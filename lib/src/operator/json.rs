//! JSON output of `banyan`; field names follow `banyan.proto`.

use banyangauge_proto as wire;
use serde_json::Value;
use serde_json::json;

use super::TimelineEvent;

/// Renders the status of one control process.
pub fn status_json(status: &wire::StatusReply) -> Value {
    let member = |m: &wire::Member| {
        json!({"vm": m.vm, "zone": m.zone, "address": m.address, "state": m.state,
            "incarnation": m.incarnation, "revision": m.revision})
    };
    let owner = |o: &wire::Owner| json!({"pool": o.pool, "vm": o.vm, "address": o.address, "token": o.token});
    json!({
        "vm": status.vm,
        "revision": status.revision,
        "platform_up": status.platform_up,
        "members": status.members.iter().map(member).collect::<Vec<_>>(),
        "owners": status.owners.iter().map(owner).collect::<Vec<_>>(),
        "pools": pools_json(&status.pools),
    })
}

/// Renders pools and their replicas.
pub fn pools_json(pools: &[wire::PoolStatus]) -> Value {
    let replica = |r: &wire::ReplicaStatus| {
        json!({"replica": r.replica, "address": r.address, "state": r.state,
            "incarnation": r.incarnation, "outstanding": r.outstanding,
            "loaded": r.loaded, "loading": r.loading})
    };
    let pool = |p: &wire::PoolStatus| {
        json!({"pool": p.pool, "owner": p.owner, "token": p.token, "queued": p.queued,
            "granted": p.granted, "loads": p.loads, "stalls": p.stalls,
            "replicas": p.replicas.iter().map(replica).collect::<Vec<_>>()})
    };
    pools.iter().map(pool).collect()
}

/// Renders usage by team and adapter version.
pub fn usage_json(counts: &[wire::UsageCount]) -> Value {
    let count = |c: &wire::UsageCount| {
        json!({"team": c.team, "adapter": c.adapter, "version": c.version,
            "requests": c.requests, "prompt_tokens": c.prompt_tokens,
            "output_tokens": c.output_tokens})
    };
    counts.iter().map(count).collect()
}

/// Renders a merged timeline.
pub fn timeline_json(events: &[TimelineEvent], dropped: u64) -> Value {
    let event = |t: &TimelineEvent| {
        let e = &t.event;
        let stamp = e.stamp.clone().unwrap_or_default();
        json!({"ms": t.offset_ms, "time": stamp.time, "origin": stamp.origin, "process": e.process,
            "kind": e.kind, "request": e.request, "adapter": e.adapter,
            "upstream": e.upstream, "pool": e.pool, "detail": e.detail})
    };
    json!({
        "dropped": dropped,
        "events": events.iter().map(event).collect::<Vec<_>>(),
    })
}
