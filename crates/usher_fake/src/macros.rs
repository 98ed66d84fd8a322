//! Macros for option builders. Not for: logic.

/// Declares `with_` methods that set one field each.
macro_rules! setters {
    ($($(#[$meta:meta])* $method:ident($field:ident: $type:ty);)+) => {
        $(
            $(#[$meta])*
            #[must_use]
            pub fn $method(mut self, $field: impl Into<$type>) -> Self {
                self.$field = $field.into();
                self
            }
        )+
    };
}

pub(crate) use setters;
