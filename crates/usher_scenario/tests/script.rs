//! Scripts are read exactly, and the relay holds bytes while its link is cut.

use std::time;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net, //
};
use usher_scenario::{LinkRelay, LinkState, ProcessName, ScriptStep};

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

/// Guards against a cut that resets connections or loses bytes, unlike a silent partition.
#[tokio::test]
async fn cut_link_holds_bytes_until_it_heals() {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = LinkRelay::start(listener.local_addr().unwrap())
        .await
        .unwrap();
    let mut near = net::TcpStream::connect(relay.address()).await.unwrap();
    near.write_all(b"a").await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    let mut byte = [0];
    far.read_exact(&mut byte).await.unwrap();

    relay.set_state(LinkState::Cut);
    near.write_all(b"b").await.unwrap();
    let held = tokio::time::timeout(time::Duration::from_millis(50), far.read_exact(&mut byte));
    assert!(held.await.is_err());

    relay.set_state(LinkState::Open);
    far.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"b");
}
