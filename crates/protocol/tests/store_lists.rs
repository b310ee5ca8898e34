//! Lists and watches of the object API with one odd object of another writer. Guards against an object
//! that hides all others of its list, and against an odd value that deletes its object.

use {cardamomloom_core::ObjectVersion, cardamomloom_protocol::store_api::ObjectList};

fn odd_values() -> Vec<String> {
    let depth = 100_000;
    vec![
        format!("{}{}", "[".repeat(depth), "]".repeat(depth)),
        format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth)),
        "{\"port\":1e999}".to_owned(),
        "{\"text\":\"\\ud800\"}".to_owned(),
    ]
}

fn body(odd: &str) -> Vec<u8> {
    format!(
        r#"{{"version":9,"objects":[{{"key":"services/a","version":3,"value":{{}}}},{odd},{{"key":"services/z","version":4,"value":{{}}}}]}}"#
    )
    .into_bytes()
}

#[test]
fn verify_that_an_object_with_an_odd_value_hides_no_other_and_is_not_deleted() {
    for odd in odd_values() {
        let item = format!(r#"{{"key":"services/m","version":5,"value":{odd}}}"#);
        let (list, errors) = ObjectList::decode(&body(&item)).expect("the list is valid");
        let keys: Vec<&str> = list.objects.iter().map(|object| &*object.key).collect();
        assert_eq!(keys, ["services/a", "services/m", "services/z"]);
        assert_eq!(errors.len(), 1);
        assert!(errors[0].to_string().contains("services/m"));
        // A list is passed on to peers as JSON, in which a deleted object has no value.
        let encoded = serde_json::to_vec(&list).expect("encoded");
        let (decoded, _) = ObjectList::decode(&encoded).expect("decoded");
        assert!(decoded.objects[1].value.is_some());
        assert_eq!(decoded.version, ObjectVersion(9));
    }
}

#[test]
fn verify_that_an_item_without_key_or_version_costs_only_itself() {
    let mut items = odd_values();
    items.extend(["7", "null", "{}", r#"{"key":"services/m","version":1e999}"#].map(Into::into));
    for odd in items {
        let (list, errors) = ObjectList::decode(&body(&odd)).expect("the list is valid");
        assert_eq!((list.objects.len(), errors.len()), (2, 1), "{odd:.40}");
    }
    let mut invalid_text = body("7");
    let position = invalid_text
        .iter()
        .position(|byte| *byte == b'7')
        .expect("item");
    invalid_text.splice(position..=position, *b"\"\xff\"");
    let (list, _) = ObjectList::decode(&invalid_text).expect("the list is valid");
    assert_eq!(list.objects.len(), 2);
}
