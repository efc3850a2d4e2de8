//! The `value!` macro, which derives the common traits.

/// Declares plain value types with a standard set of derives.
///
/// `value! { ... }` derives `Clone`, `Debug`, `PartialEq` and `Eq`;
/// `value! { copy ... }` adds `Copy`, `Hash` and the ordering traits;
/// `value! { wire ... }` adds `Serialize` and `Deserialize` to the first set;
/// `value! { wire copy ... }` adds both, with kebab-case names.
///
/// Keeping the lists in one place gives every type the same derives, whatever
/// its first user needed.
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
