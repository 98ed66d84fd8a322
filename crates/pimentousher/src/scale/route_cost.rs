//! Measures what a change of the routes costs gateways, registrars and the links between control
//! nodes. Not for: the way of a change through real processes.

use std::{collections, time};

use prost::Message as _;
use tokio_util::codec::Encoder as _;
use usher_route::{
    CallerLimits, RepeatKind, RouteFeed, RouteRule, RouteSheet, RouteTable, RouteTransfer,
    ServiceWeight,
};
use usher_wire::message;

use crate::scale::report;

/// Routes at the target size: one for each team.
const TARGET_ROUTES: f64 = 11_000.0;

const SIZES: [usize; 4] = [1_375, 2_750, 5_500, 11_000];

/// Changes measured at each size.
const CHANGES: u64 = 50;

/// Look-ups measured at each size.
const LOOK_UPS: u32 = 20_000;

/// What a change of one route costs at one size.
struct ChangeCost {
    transfer_all: f64,
    transfer_change: f64,
    publish: time::Duration,
    apply: time::Duration,
    look_up: time::Duration,
}

pub(crate) fn measure() -> Vec<report::ScaleRow> {
    let costs = SIZES.map(|size| (size as f64, change_cost(size)));
    let row = |role, figure, unit, value: fn(&ChangeCost) -> f64| {
        let points = costs.iter().map(|(size, cost)| (*size, value(cost)));
        report::ScaleRow::new(
            role,
            figure,
            unit,
            "routes",
            points.collect(),
            TARGET_ROUTES,
        )
    };
    let frames = SIZES.map(|size| (size as f64, frame_bytes(size)));
    vec![
        row("gateway", "transfer of all routes", "KiB", |cost| {
            cost.transfer_all / 1_024.0
        }),
        row("gateway", "transfer of a changed route", "B", |cost| {
            cost.transfer_change
        }),
        row("gateway", "time to apply a changed route", "us", |cost| {
            micros(cost.apply)
        }),
        row("gateway", "time to look up a route", "us", |cost| {
            micros(cost.look_up)
        }),
        row(
            "registrar",
            "time to publish a changed route",
            "us",
            |cost| micros(cost.publish),
        ),
        report::ScaleRow::new(
            "registrar",
            "frame of a changed document",
            "B",
            "routes",
            frames.to_vec(),
            TARGET_ROUTES,
        ),
    ]
}

fn micros(time: time::Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn sheet(version: u64, size: usize) -> RouteSheet {
    let route = |number: usize| {
        let is_changed = number as u64 == version;
        RouteRule {
            name: format!("r-{number:07}"),
            host: "desk.example".to_owned(),
            prefix: format!("/team-{number}/"),
            kind: RepeatKind::Stream,
            timeout: time::Duration::from_millis(if is_changed { 9_000 } else { 4_000 }),
            objective: time::Duration::from_millis(600),
            max_event_gap: Some(time::Duration::from_millis(250)),
            priority: 2,
            services: vec![ServiceWeight {
                service: usher_types::ServiceName::new("assist"),
                weight: 1,
            }],
            max_attempts: 2,
            is_public: false,
        }
    };
    RouteSheet {
        version: usher_types::ConfigVersion::new(version),
        routes: (0..size).map(route).collect(),
        services: collections::BTreeMap::new(),
        limits: CallerLimits::default(),
        teams: None,
    }
}

/// Transfers the newest version to a table; returns the bytes of all replies.
fn transfer(feed: &RouteFeed, table: &mut RouteTable) -> usize {
    let mut transfer = RouteTransfer::new(table.version());
    let mut bytes = 0;
    loop {
        let part = feed.part(&transfer.request());
        bytes += part.encoded_len();
        if transfer.add(&part).is_err() {
            return bytes;
        }
        if part.last {
            // A feed and a table of one run agree.
            let applied = transfer.apply(table, feed.version(), &part);
            debug_assert!(applied.is_ok());
            return bytes;
        }
    }
}

fn change_cost(size: usize) -> ChangeCost {
    let mut feed = RouteFeed::new(1);
    let mut table = RouteTable::default();
    feed.update(sheet(1, size));
    let transfer_all = transfer(&feed, &mut table) as f64;
    let mut bytes = 0;
    let (mut publish, mut apply) = (time::Duration::ZERO, time::Duration::ZERO);
    for version in 2..2 + CHANGES {
        let next = sheet(version, size);
        let start = time::Instant::now();
        feed.update(next);
        publish += start.elapsed();
        let start = time::Instant::now();
        bytes += transfer(&feed, &mut table);
        apply += start.elapsed();
    }
    let start = time::Instant::now();
    for number in 0..LOOK_UPS {
        let path = format!("/team-{}/a/b", number as usize % size);
        std::hint::black_box(table.find("desk.example:80", &path));
    }
    ChangeCost {
        transfer_all,
        transfer_change: bytes as f64 / CHANGES as f64,
        publish: publish / CHANGES as u32,
        apply: apply / CHANGES as u32,
        look_up: start.elapsed() / LOOK_UPS,
    }
}

/// Returns the size of a frame whose document differs by one route from that of the frame before.
fn frame_bytes(size: usize) -> f64 {
    let mut codec = usher_wire::EnvelopeCodec::new().with_deltas(true);
    let mut total = 0;
    for version in 1..=1 + CHANGES {
        let routes = sheet(version, size).routes;
        let routes = routes.iter().map(|route| {
            serde_json::json!({
                "name": route.name, "host": route.host, "pathPrefix": route.prefix,
                "kind": "streaming", "timeoutMs": route.timeout.as_millis() as u64,
                "targetLatencyMs": 600, "priority": route.priority, "service": "assist",
                "maxAttempts": route.max_attempts, "sticky": true, "resumable": false,
                "targetGapMs": 250,
            })
        });
        let document =
            serde_json::json!({ "version": version, "routes": routes.collect::<Vec<_>>() });
        let reply = message::RoutesReply {
            version,
            document: document.to_string().into_bytes(),
            changes: None,
        };
        let envelope = message::Envelope {
            call: version,
            body: Some(message::envelope::Body::RoutesReply(reply)),
        };
        let mut frame = bytes::BytesMut::new();
        // The largest document is below the limit of a frame.
        let encoded = codec.encode(envelope, &mut frame);
        debug_assert!(encoded.is_ok());
        if version > 1 {
            total += frame.len();
        }
    }
    total as f64 / CHANGES as f64
}
