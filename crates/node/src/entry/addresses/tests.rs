use googletest::prelude::*;

use super::{Asker, asker};

/// Guards against comparing percent-encoded names, which ignores the caller's failure domain.
#[gtest]
fn names_in_the_query_are_decoded() {
    let queries = [
        "service=chat",
        "service=chat&domain=hall%20ost&caller=a%26b",
        "service=chat&domain=hall+ost&caller=c%2Bd%23e",
        "service=c%68at&domain=&caller=100%",
    ];
    let read = queries.map(|query| asker(query).ok());
    let expected = [
        ("", None),
        ("hall ost", Some("a&b")),
        ("hall ost", Some("c+d#e")),
        ("", Some("100%")),
    ];
    let expected = expected.map(|(domain, name)| {
        Some(Asker {
            service: "chat".into(),
            domain: domain.into(),
            name: name.map(Into::into),
        })
    });
    expect_that!(read, eq(&expected));
}

#[gtest]
fn a_query_without_a_service_is_refused() {
    for query in ["", "service=", "domain=a", "%73ervic=chat"] {
        expect_that!(asker(query), err(anything()), "{query}");
    }
}
