//! Placement of model calls under the load patterns that it answers.

use std::{collections, net, time};

use usher_place::{
    CallGoal, DomainMap, EnginePlan, EnginePolicy, LoadBook, PlaceView, PromptPart, PromptWork,
    SendUrgency, TargetFailure, TargetUse,
};
use usher_roster::{TargetEntry, TargetPhase};
use usher_types::{DomainName, EngineRole, RegionName, TargetName};

/// Gives each engine an address of its own.
fn address(name: &str) -> net::SocketAddr {
    let port = name
        .bytes()
        .fold(1_000, |port, byte| port + u16::from(byte));
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn engine(name: &str, domain: &str, role: EngineRole) -> TargetEntry {
    TargetEntry {
        name: TargetName::new(name),
        service: usher_types::ServiceName::new("model"),
        address: address(name),
        domain: DomainName::new(domain),
        slots: 64,
        role: Some(role),
        phase: TargetPhase::Ready,
        silent: false,
        born_ms: 1,
        sequence: 1,
        warm_up: time::Duration::ZERO,
    }
}

/// Two readers and a generator in each of three domains, each in a region of its own.
fn fleet() -> Vec<TargetEntry> {
    let domains = ["a", "b", "c"];
    let engines = domains.iter().flat_map(|domain| {
        [
            engine(&format!("{domain}-1"), domain, EngineRole::Prefill),
            engine(&format!("{domain}-2"), domain, EngineRole::Prefill),
            engine(&format!("{domain}-3"), domain, EngineRole::Decode),
        ]
    });
    engines.collect()
}

fn map() -> DomainMap {
    let regions = ["a", "b", "c"].map(|name| (DomainName::new(name), RegionName::new(name)));
    DomainMap::new(collections::BTreeMap::from(regions))
}

fn work(shared: u64, own: u64) -> PromptWork {
    work_of(8, shared, own)
}

/// The work of one of several calls with the same shared part.
fn work_of(call: u64, shared: u64, own: u64) -> PromptWork {
    let parts = vec![
        PromptPart {
            id: 7,
            tokens: shared,
        },
        PromptPart {
            id: 1_000 + call,
            tokens: own,
        },
    ];
    PromptWork {
        prompt_tokens: shared + own,
        output_tokens: 100,
        parts,
    }
}

/// A gateway of one domain with what it knows of loads.
struct Gateway {
    domain: DomainName,
    loads: LoadBook,
    targets: Vec<TargetEntry>,
    policy: EnginePolicy,
}

impl Gateway {
    fn new(domain: &str) -> Self {
        Self {
            domain: DomainName::new(domain),
            loads: LoadBook::new(),
            targets: fleet(),
            policy: EnginePolicy::default(),
        }
    }

    /// Lets another gateway tell that an engine has read the shared part of a call.
    fn tell(&mut self, engine: &str, work: &PromptWork) {
        let (now, mut other) = (time::Instant::now(), EnginePolicy::default());
        other.note_read(&TargetName::new(engine), work, now);
        self.policy.take_reads(other.take_untold(), now);
    }

    fn address(&self, engine: &str) -> net::SocketAddr {
        let engine = self.targets.iter().find(|e| e.name.as_str() == engine);
        engine.unwrap().address
    }

    fn generator(&self, work: &PromptWork) -> TargetName {
        let map = map();
        let view = self.view(&map);
        self.policy.choose_decode(work, &view).unwrap().name.clone()
    }

    fn view<'g>(&'g self, map: &'g DomainMap) -> PlaceView<'g> {
        PlaceView {
            targets: &self.targets,
            tried: &[],
            loads: &self.loads,
            map,
            from: &self.domain,
            now: time::Instant::now(),
        }
    }

    fn place(&self, work: &PromptWork) -> Option<EnginePlan> {
        let goal = CallGoal {
            rank: 1,
            left: time::Duration::from_millis(800),
        };
        let map = map();
        self.policy.choose_reader(work, &goal, &self.view(&map))
    }
}

/// Cold start: every gateway of a region meets the same long shared part at once. Guards against
/// readers that each read it: 2.2 of 5.6 million tokens were read again when gateways chose by load.
#[test]
fn gateways_of_a_region_share_one_home() {
    let homes: collections::BTreeSet<_> = (0..20)
        .map(|call| {
            let plan = Gateway::new("a").place(&work_of(call, 13_300, 3_720));
            plan.unwrap().reader.name
        })
        .collect();
    assert_eq!(homes.len(), 1);
    let plan = Gateway::new("a").place(&work(13_300, 3_720)).unwrap();
    assert_eq!(
        (plan.tokens, plan.source),
        (17_020, None),
        "nobody has the shared part"
    );
}

/// A part that another region has read, as its gateways tell. Guards against reading it again, which
/// takes five times as long as copying it, and against calls to the other region for it: these made
/// up most bytes between regions.
#[test]
fn shared_part_of_another_region_is_copied() {
    let work = work(13_300, 3_720);
    let mut gateway = Gateway::new("a");
    gateway.tell("b-2", &work);
    let plan = gateway.place(&work).unwrap();
    assert_eq!(plan.reader.domain.as_str(), "a");
    assert_eq!(plan.source, Some(gateway.address("b-2")));
    assert_eq!(plan.tokens, 3_720);
    // A holder that failed is no source.
    gateway.loads.note_failure(
        &TargetName::new("b-2"),
        TargetFailure::Lost,
        time::Instant::now(),
    );
    assert_eq!(gateway.place(&work).unwrap().source, None);
}

/// A busy holder in the own region. Guards against calls that wait for it while an idle engine could
/// copy the parts in some milliseconds.
#[test]
fn parts_of_a_busy_holder_are_copied() {
    let work = work(13_300, 3_720);
    let mut gateway = Gateway::new("a");
    gateway.tell("a-1", &work);
    let plan = gateway.place(&work).unwrap();
    assert_eq!((plan.reader.name.as_str(), plan.source), ("a-1", None));
    let holder = TargetName::new("a-1");
    let _busy = gateway
        .loads
        .start(&holder, 12_000, SendUrgency::of_rank(1));
    let plan = gateway.place(&work).unwrap();
    assert_eq!(plan.reader.name.as_str(), "a-2");
    assert_eq!(plan.source, Some(gateway.address("a-1")));
}

/// A wave of calls that many gateways place before they hear of each other. Guards against all of
/// them choosing the engine that looked best: 50 calls of 90 gateways met at one engine within 0.2 s,
/// and waited 0.3 to 0.8 s while others were idle.
#[test]
fn calls_of_many_gateways_spread_over_engines() {
    const ENGINES: usize = 14;
    const CALLS: u64 = 90;
    let mut gateway = Gateway::new("a");
    let engines = |role| (0..ENGINES).map(move |n| engine(&format!("{role}-{n}"), "a", role));
    gateway.targets = engines(EngineRole::Prefill)
        .chain(engines(EngineRole::Decode))
        .collect();
    let mut readers = collections::BTreeMap::<_, u64>::new();
    let mut generators = collections::BTreeMap::<_, u64>::new();
    for call in 0..CALLS {
        let work = work_of(call, 350, 1_100);
        *readers
            .entry(gateway.place(&work).unwrap().reader.name)
            .or_default() += 1;
        *generators.entry(gateway.generator(&work)).or_default() += 1;
    }
    // The home of the short shared part gets more than its share, and others don't.
    let home = readers.values().max().copied();
    let fair = CALLS.div_ceil(ENGINES as u64);
    assert!(
        generators.values().all(|calls| *calls <= 3 * fair),
        "{generators:?}"
    );
    let others: Vec<_> = readers
        .values()
        .filter(|calls| Some(**calls) != home)
        .collect();
    assert!(
        others.iter().all(|calls| **calls <= 3 * fair),
        "{readers:?}"
    );
}

/// A neighbour on the engine's machine that is gone. Guards against an old report that keeps calls
/// away from the engine.
#[test]
fn reported_slowness_is_forgotten() {
    let start = time::Instant::now();
    let mut load = usher_place::TargetLoad::default();
    let report = usher_place::LoadReport {
        running: 1,
        waiting: 0,
        slots: 64,
        slowness: 250,
    };
    load.take_report(report, start);
    assert!((load.slowness(start) - 2.5).abs() < 1e-9);
    assert!(load.slowness(start + time::Duration::from_millis(300)) < 1.6);
    assert!(load.slowness(start + time::Duration::from_millis(1_500)) < 1.02);
}

/// A long prompt that an engine is reading. Guards against urgent calls that are placed behind it as
/// if they overtook it: a tenth of them came 0.25 s later than expected.
#[test]
fn prompt_that_is_being_read_delays_urgent_calls() {
    let loads = LoadBook::new();
    let name = TargetName::new("a-1");
    let _long = loads.start(&name, 50_000, SendUrgency::of_rank(2));
    let _short = loads.start(&name, 1_000, SendUrgency::of_rank(0));
    let before = |urgency| loads.view(|loads| loads[&name].tokens_before(urgency));
    assert_eq!(before(SendUrgency::of_rank(0)), 1_000 + 8_000);
    assert_eq!(before(SendUrgency::of_rank(2)), 51_000);
}

/// A quiet caller with a short shared part. Guards against a trip to another region that takes
/// longer than reading the part again.
#[test]
fn short_shared_part_stays_near() {
    let work = work(350, 1_100);
    for domain in ["a", "b", "c"] {
        let plan = Gateway::new(domain).place(&work).unwrap();
        assert_eq!(plan.reader.domain.as_str(), domain);
    }
}

/// A home with a queue. Guards against calls that leave it at once, so that shared parts are read
/// again and queues grow, and against calls that never leave it.
#[test]
fn call_leaves_its_home_only_for_a_long_queue() {
    let work = work(13_300, 3_720);
    let gateway = Gateway::new("a");
    let home = gateway.place(&work).unwrap().reader.name;
    let urgency = SendUrgency::of_rank(1);
    let _short = gateway.loads.start(&home, 10_000, urgency);
    assert_eq!(gateway.place(&work).unwrap().reader.name, home);
    let _long = gateway.loads.start(&home, 60_000, urgency);
    assert_ne!(gateway.place(&work).unwrap().reader.name, home);
}

/// The work of other gateways. Guards against queues that a gateway can't see, because it has an
/// eighth of the calls.
#[test]
fn queue_of_other_gateways_counts() {
    let work = work(13_300, 3_720);
    let gateway = Gateway::new("a");
    let home = gateway.place(&work).unwrap().reader.name;
    gateway.loads.know([&home].into_iter());
    let key = usher_place::text_key(home.as_str());
    let used = TargetUse {
        running: 9,
        prefill_tokens: [0, 70_000, 0, 0],
        failing: 0,
    };
    let others = collections::HashMap::from([(key, used)]);
    gateway.loads.take_others(&others);
    assert_ne!(gateway.place(&work).unwrap().reader.name, home);
}

/// The crest of a burst: readers are full of calls that will be late. Guards against timely calls
/// that are taken for late, because they seem to wait for those.
#[test]
fn late_calls_do_not_make_others_late() {
    let work = work(350, 1_100);
    let gateway = Gateway::new("a");
    let readers = fleet()
        .into_iter()
        .filter(|e| e.role == Some(EngineRole::Prefill));
    let names: Vec<_> = readers.map(|engine| engine.name).collect();
    let late: Vec<_> = names
        .iter()
        .map(|name| gateway.loads.start(name, 100_000, SendUrgency::late()))
        .collect();
    let plan = gateway.place(&work).unwrap();
    assert_eq!(plan.urgency, SendUrgency::of_rank(1));
    drop(late);
    let _timely: Vec<_> = names
        .iter()
        .map(|name| gateway.loads.start(name, 100_000, SendUrgency::of_rank(0)))
        .collect();
    let plan = gateway.place(&work).unwrap();
    assert_eq!(plan.urgency, SendUrgency::late());
}

/// All readers are busy. Guards against an engine that generates and reads a long prompt between
/// the steps of all its calls: their first events came 0.2 to 0.9 s later.
#[test]
fn generating_engine_reads_only_without_readers() {
    let work = work(13_300, 3_720);
    let mut gateway = Gateway::new("a");
    let readers = fleet()
        .into_iter()
        .filter(|e| e.role == Some(EngineRole::Prefill));
    let _busy: Vec<_> = readers
        .map(|e| {
            gateway
                .loads
                .start(&e.name, 90_000, SendUrgency::of_rank(0))
        })
        .collect();
    assert!(!gateway.place(&work).unwrap().is_whole);
    gateway
        .targets
        .retain(|e| e.role == Some(EngineRole::Decode));
    assert!(gateway.place(&work).unwrap().is_whole);
    gateway.targets.clear();
    assert_eq!(gateway.place(&work), None);
}

/// Guards against a count of work that stays when a call ends or its prompt was read.
#[test]
fn ended_calls_leave_no_work() {
    let loads = LoadBook::new();
    let name = TargetName::new("a-1");
    let mut ticket = loads.start(&name, 500, SendUrgency::of_rank(0));
    let now = time::Instant::now();
    let uses = || loads.own_uses(now);
    assert_eq!(uses()[0].1.prefill_tokens, [500, 0, 0, 0]);
    ticket.prefilled();
    let used = TargetUse {
        running: 1,
        ..TargetUse::default()
    };
    assert_eq!(uses(), vec![(name, used)]);
    drop(ticket);
    assert!(uses().is_empty());
}

/// A crash of an engine that each of 90 gateways would find out by a call of its own. Guards against
/// these calls, and against one gateway that is cut off and makes all others avoid engines.
#[test]
fn failures_of_other_gateways_count() {
    let now = time::Instant::now();
    let name = TargetName::new("a-1");
    let (loads, failing) = (LoadBook::new(), LoadBook::new());
    loads.know([&name].into_iter());
    failing.note_failure(&name, TargetFailure::Lost, now);
    let told = failing.own_uses(now);
    assert_eq!(told.len(), 1, "a target without calls is told too");
    // A refusal may concern this gateway only.
    failing.note_failure(&name, TargetFailure::Refused, now);
    assert!(failing.own_uses(now).is_empty());
    let tell = |gateways: u32| {
        let used = TargetUse {
            failing: gateways,
            ..told[0].1
        };
        let key = usher_place::text_key(name.as_str());
        loads.take_others(&collections::HashMap::from([(key, used)]));
        loads.view(|loads| loads[&name].is_avoided(now))
    };
    assert!(!tell(1));
    assert!(tell(2));
    loads.note_answer(&name, now);
    assert!(!tell(2), "it has just answered this gateway");
}
