use rand::SeedableRng;

use super::*;

fn place(vm: &str, region: &str, port: u16) -> Place {
    Place {
        vm: vm.parse().unwrap(),
        region: region.parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

#[test]
fn callers_stay_in_their_region_while_it_has_a_vm() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut book = Book::new("gulf".parse().unwrap(), Vec::new());
    assert_eq!(book.pick(None, &mut rng), None);
    book.places = vec![place("a", "gulf", 1), place("b", "gulf", 2), place("c", "delta", 3)];
    let lost = SocketAddr::from(([127, 0, 0, 1], 1));
    for _ in 0..20 {
        assert_eq!(book.pick(Some(lost), &mut rng).unwrap().port(), 2);
    }
    book.distrust(lost);
    book.distrust(SocketAddr::from(([127, 0, 0, 1], 2)));
    assert_eq!(book.pick(None, &mut rng).unwrap().port(), 3);
}
