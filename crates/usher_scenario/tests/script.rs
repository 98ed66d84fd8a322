//! Scripts are parsed correctly, and the relay holds back bytes while a link is cut.

use std::time;

use prost::Message as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net, //
};
use usher_scenario::{LinkRelay, LinkTable, ProcessName, ScriptStep};
use usher_wire::message;

fn check_step(text: &str, expected: ScriptStep) {
    let lines = usher_scenario::parse_script(text).unwrap();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0].step, expected);
}

usher_types::cases! { check_step:
    comment_and_spaces_are_skipped("  # one\n\n heal # two", ScriptStep::Heal);
    name_is_kept("kill control-1", ScriptStep::Kill(ProcessName::new("control-1")));
    cut_from_all_has_no_other_side("cut entry-1 all", ScriptStep::Cut {
        from: ProcessName::new("entry-1"),
        to: None,
    });
    duration_has_a_unit("pause 250ms", ScriptStep::Pause(time::Duration::from_millis(250)));
}

fn check_error(text: &str, line: usize) {
    let error = usher_scenario::parse_script(text).unwrap_err();
    assert_eq!(error.line, line, "{error}");
}

usher_types::cases! { check_error:
    unknown_step_names_its_line("heal\nmelt control-1", 2);
    number_out_of_range_is_refused("start control 70000", 1);
    duration_without_unit_is_refused("heal\n\npause 3", 3);
}

/// Returns the hello frame of a connection, which names the connecting process.
fn hello_frame(node: &str) -> Vec<u8> {
    let hello = message::Hello {
        node: node.to_owned(),
        ..Default::default()
    };
    let body = hello.encode_to_vec();
    let mut frame = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Guards against a cut that, unlike a silent network partition, resets connections or loses
/// bytes.
#[tokio::test]
async fn cut_link_holds_bytes_until_it_heals() {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let table = LinkTable::shared();
    let target = listener.local_addr().unwrap();
    let relay = LinkRelay::start(ProcessName::new("control-1"), target, &table)
        .await
        .unwrap();
    let mut client = net::TcpStream::connect(relay.address()).await.unwrap();
    let hello = hello_frame("entry-1");
    client.write_all(&hello).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let mut received = vec![0; hello.len()];
    server.read_exact(&mut received).await.unwrap();
    assert_eq!(received, hello);

    let (entry, control) = (ProcessName::new("entry-1"), ProcessName::new("control-1"));
    table.send_modify(|table| table.cut(&entry, Some(&control)));
    client.write_all(b"b").await.unwrap();
    let mut byte = [0];
    let blocked_read = tokio::time::timeout(
        time::Duration::from_millis(50),
        server.read_exact(&mut byte),
    );
    assert!(blocked_read.await.is_err());

    table.send_modify(LinkTable::heal);
    server.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"b");
}

/// Guards against a cut between two processes that also cuts other links.
#[test]
fn cut_of_a_pair_leaves_other_links_open() {
    let mut table = LinkTable::default();
    let names = ["control-1", "control-2", "control-3"].map(ProcessName::new);
    table.cut(&names[0], Some(&names[1]));
    assert!(!table.is_open(&names[1], &names[0]));
    assert!(table.is_open(&names[0], &names[2]));
    table.cut(&names[2], None);
    assert!(!table.is_open(&names[0], &names[2]));
}
