//! Requests are accounted to the team and firm that their headers and tokens name.

use crate::support::{chat_body, instant, options, Fleet};
use usher_entry::AccountDirectory;

/// Sends one request with headers and compares the account of its outcome.
fn account(headers: &[(&str, &str)], team: &str, firm: &str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let directory = AccountDirectory::new()
            .with_team("dispatch", "apple-isle")
            .with_token("example-token", "dispatch");
        let fleet = Fleet::start(options().with_accounts(directory)).await;
        let _engine = fleet.engine(instant("engine-1")).await;
        let mut request = fleet.request("POST", "/v1/chat/completions");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let reply = fleet.send(request, chat_body(4, false).to_string()).await;
        assert_eq!(reply.status, 200);
        fleet.wait_idle().await;
        assert_eq!(
            fleet.outcomes.accounts(),
            [(team.to_owned(), firm.to_owned())]
        );
    });
}

usher_types::cases! { account:
    /// Guards against teams whose weight and firm in the settings have no effect.
    token_names_team_and_firm(&[("authorization", "Bearer example-token")], "dispatch", "apple-isle");
    team_names_its_firm(&[("x-team", "dispatch")], "dispatch", "apple-isle");
    /// Guards against a known team that uses the fair share of another firm.
    firm_of_a_known_team_comes_first(&[("x-team", "dispatch"), ("x-firm", "tamar")], "dispatch", "apple-isle");
    firm_of_an_unknown_team_is_named(&[("x-team", "crew"), ("x-firm", "tamar")], "crew", "tamar");
    /// Guards against tokens that appear in outcomes or logs.
    unknown_token_is_hashed(&[("authorization", "Bearer other")], "token-d9298a10d1b0", "anonymous");
    caller_without_account(&[], "anonymous", "anonymous");
}
