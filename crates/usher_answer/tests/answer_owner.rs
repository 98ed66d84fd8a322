//! Tests of the request that an answer belongs to.

use usher_answer::{AnswerOwner, ConnectionUse};

fn check_owner(stated: Option<&str>, connection: ConnectionUse, expected: AnswerOwner) {
    let sent = usher_types::RequestId::new("sent");
    let stated = stated.map(usher_types::RequestId::new);
    let owner = AnswerOwner::of(&sent, stated.as_ref(), connection);
    assert_eq!(owner, expected);
}

use AnswerOwner::{OtherRequest, ThisRequest, Unknown};
use ConnectionUse::{First, Repeated};

// Guards against an earlier answer of a connection that is taken for that of the last request, and
// against own answers that are not believed.
usher_types::cases! { check_owner:
    own_id_on_a_new_connection(Some("sent"), First, ThisRequest);
    own_id_on_a_used_connection(Some("sent"), Repeated, ThisRequest);
    other_id_on_a_new_connection(Some("earlier"), First, OtherRequest);
    other_id_on_a_used_connection(Some("earlier"), Repeated, OtherRequest);
    no_id_on_a_new_connection(None, First, ThisRequest);
    no_id_on_a_used_connection(None, Repeated, Unknown);
}
