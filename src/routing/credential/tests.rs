use super::Credential;

#[test]
fn a_credential_shows_nothing_of_its_key() {
    let shown = format!("{:?}", Credential::new(b"secret-key"));
    assert_eq!(shown, "Credential(..)");
}

#[test]
fn only_the_same_key_has_the_same_credential() {
    assert_eq!(Credential::new(b"a"), Credential::new(b"a"));
    assert_ne!(Credential::new(b"a"), Credential::new(b"a "));
    assert_ne!(Credential::new(b""), Credential::new(b"a"));
}

#[test]
fn a_credential_survives_a_message_between_vms() {
    let credential = Credential::new(b"secret-key");
    let mut bytes = Vec::new();
    ciborium::into_writer(&credential, &mut bytes).unwrap();
    let read: Credential = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(read, credential);
    assert!(!bytes.windows(6).any(|part| part == b"secret"));
}
