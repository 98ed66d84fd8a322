//! Decides which request an answer belongs to. Not for: whether the answer is complete.

usher_types::value_type! {
    /// What a connection had carried before a request.
    pub enum ConnectionUse {
        /// Nothing: the request is the first one.
        First,
        /// Other requests, whose answers may come once more.
        Repeated,
    }
}

usher_types::value_type! {
    /// The request that an answer belongs to.
    pub enum AnswerOwner {
        /// The request that was sent last on the connection.
        ThisRequest,
        /// Another request, which its id names.
        OtherRequest,
        /// It can't be told.
        Unknown,
    }
}

impl AnswerOwner {
    /// Decides whether an answer belongs to the request with the id `sent`; `stated` is the id in the
    /// head of the answer.
    ///
    /// A faulty target may write an earlier answer once more where the next one is expected. An id
    /// shows whose it is, so the same request must not be sent twice on one connection. Without an id,
    /// only the first answer of a connection can't be an earlier one; a target that writes an answer
    /// without an id before it has read a request is not found out. What an answer says, also that
    /// its target didn't run the request, is believed only if the request is its owner.
    ///
    /// ```
    /// use usher_answer::{AnswerOwner, ConnectionUse};
    ///
    /// let sent = "call-2".parse().unwrap();
    /// let earlier = "call-1".parse().unwrap();
    /// let owner = |stated, connection| AnswerOwner::of(&sent, stated, connection);
    /// assert_eq!(owner(Some(&sent), ConnectionUse::Repeated), AnswerOwner::ThisRequest);
    /// assert_eq!(owner(Some(&earlier), ConnectionUse::First), AnswerOwner::OtherRequest);
    /// assert_eq!(owner(None, ConnectionUse::First), AnswerOwner::ThisRequest);
    /// assert_eq!(owner(None, ConnectionUse::Repeated), AnswerOwner::Unknown);
    /// ```
    pub fn of(
        sent: &usher_types::RequestId,
        stated: Option<&usher_types::RequestId>,
        connection: ConnectionUse,
    ) -> Self {
        match (stated, connection) {
            (Some(stated), _) if stated == sent => Self::ThisRequest,
            (Some(_), _) => Self::OtherRequest,
            (None, ConnectionUse::First) => Self::ThisRequest,
            (None, ConnectionUse::Repeated) => Self::Unknown,
        }
    }
}
