//! The derive macro for plain values.

/// Declares plain value types with the traits that nearly all of them want.
///
/// `value! { ... }` gives `Clone`, `Debug`, `PartialEq` and `Eq`;
/// `value! { copy ... }` adds `Copy`, `Hash` and the ordering traits;
/// `value! { wire ... }` gives the first set and serde's two traits.
///
/// One list in one place keeps the derives of a type from being whatever its
/// first user happened to need.
#[macro_export]
macro_rules! value {
    (copy $($item:item)+) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
            $item
        )+
    };
    (wire copy $($item:item)+) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
            #[derive(::serde::Serialize, ::serde::Deserialize)]
            #[serde(rename_all = "kebab-case")]
            $item
        )+
    };
    (wire $($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            #[derive(::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )+
    };
}
