//! Simulated engine for tests and the demo.

use std::{net, time};

use eyre::WrapErr as _;

const HELP: &str = "\
Runs a simulated model engine on loopback, for tests and the demo.

usage: fake-engine [options]

  --name NAME              name that it announces (engine-1)
  --bind ADDRESS           where it listens (127.0.0.1:0)
  --entry ADDRESS          entry to announce to; may be repeated
  --service NAME           service (assist)
  --model NAME             model (assist-1)
  --role ROLE              mixed, prefill or decode (mixed)
  --region NAME            region (south-a)
  --domain NAME            failure domain (domain-1)
  --prefill-rate TOKENS    prompt tokens per second (8000)
  --decode-ms MS           time of one decode step (20)
  --max-running COUNT      most streams at once (32)
  --kv-pieces COUNT        memory in pieces of 1,024 tokens (512)
  --time-scale FACTOR      how many times faster than real it runs (1)
  --no-fencing             accepts orders with old fencing numbers
  --no-delays              answers without any delay
  --help                   prints this text

SIGTERM makes it announce that it is leaving and finish its running streams.";

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
        usher_fake::run_fake_engine(options, stop)
            .await
            .wrap_err("fake engine failed")
    })
}

fn read_options() -> eyre::Result<Option<usher_fake::EngineOptions>> {
    use lexopt::prelude::{Long, ValueExt as _};
    let mut parser = lexopt::Parser::from_env();
    let mut options = usher_fake::EngineOptions::new("engine-1");
    while let Some(argument) = parser.next()? {
        match argument {
            Long("name") => options.name = parser.value()?.parse()?,
            Long("bind") => options.bind = parser.value()?.parse()?,
            Long("entry") => {
                let entry: net::SocketAddr = parser.value()?.parse()?;
                options.entries.push(entry);
            }
            Long("service") => options.service = parser.value()?.parse()?,
            Long("model") => options.shape.model = parser.value()?.parse()?,
            Long("role") => options.shape.role = parser.value()?.parse()?,
            Long("region") => options.region = parser.value()?.parse()?,
            Long("domain") => options.domain = parser.value()?.parse()?,
            Long("prefill-rate") => options.prefill_rate = parser.value()?.parse()?,
            Long("decode-ms") => {
                options.decode_step = time::Duration::from_millis(parser.value()?.parse()?);
            }
            Long("max-running") => options.max_running = parser.value()?.parse()?,
            Long("kv-pieces") => options.kv_pieces = parser.value()?.parse()?,
            Long("time-scale") => options.time_scale = parser.value()?.parse()?,
            Long("no-fencing") => options.fenced = false,
            Long("no-delays") => options = options.without_delays(),
            Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(Some(options))
}
