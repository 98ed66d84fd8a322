//! Simulated plain service for tests and the demo.

use std::net;

use eyre::WrapErr as _;

const HELP: &str = "\
Runs a simulated plain service on loopback, for tests and the demo.

usage: fake-service [options]

  --name NAME        name that it announces (service-1)
  --bind ADDRESS     where it listens (127.0.0.1:0)
  --entry ADDRESS    entry to announce to; may be repeated
  --service NAME     service (rounds)
  --region NAME      region (south-a)
  --domain NAME      failure domain (domain-1)
  --delay-ms MS      time before a call has its effect (0)
  --failing          answers every call with status 500
  --help             prints this text

GET /fake/calls returns how often each call had its effect; POST /fake/behaviour changes how
calls are treated. SIGTERM makes it announce that it is leaving and finish its running calls.";

fn main() -> eyre::Result<()> {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let Some(options) = read_options()? else {
        println!("{HELP}");
        return Ok(());
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        let stop = async {
            terminate.recv().await;
        };
        usher_fake::run_fake_service(options, stop)
            .await
            .wrap_err("fake service failed")
    })
}

fn read_options() -> eyre::Result<Option<usher_fake::ServiceOptions>> {
    use lexopt::prelude::{Long, ValueExt as _};
    let mut parser = lexopt::Parser::from_env();
    let mut options = usher_fake::ServiceOptions::new("service-1");
    while let Some(argument) = parser.next()? {
        match argument {
            Long("name") => options.name = parser.value()?.parse()?,
            Long("bind") => options.bind = parser.value()?.parse()?,
            Long("entry") => {
                let entry: net::SocketAddr = parser.value()?.parse()?;
                options.entries.push(entry);
            }
            Long("service") => options.service = parser.value()?.parse()?,
            Long("region") => options.region = parser.value()?.parse()?,
            Long("domain") => options.domain = parser.value()?.parse()?,
            Long("delay-ms") => options.behaviour.delay_ms = parser.value()?.parse()?,
            Long("failing") => options.behaviour.failing = true,
            Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(Some(options))
}
