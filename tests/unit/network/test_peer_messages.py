"""Generated classes of the messages between proxies."""

import pathlib

import pytest
import thriftpy2

from geraniumridge._internal.network import peer_messages

DEFINITIONS = thriftpy2.load(
    str(pathlib.Path(peer_messages.__file__).with_name("peers.thrift")),
    module_name="test_peers_thrift",
)
STRUCTS = DEFINITIONS.__thrift_meta__["structs"]


def describe(spec):
    """Return a specification with the names of classes instead of these."""
    if isinstance(spec, dict):
        return {key: describe(value) for key, value in spec.items()}
    if isinstance(spec, tuple):
        return tuple(describe(value) for value in spec)
    return spec.__name__ if isinstance(spec, type) else spec


@pytest.mark.parametrize("struct", STRUCTS, ids=lambda item: item.__name__)
def test_class_has_the_fields_of_its_definition(struct):
    """Otherwise run scripts/generate_messages."""
    generated = getattr(peer_messages, struct.__name__)
    assert describe(generated.thrift_spec) == describe(struct.thrift_spec)
    assert vars(generated()) == dict(struct.default_spec)


def test_each_class_has_a_definition():
    defined = {struct.__name__ for struct in STRUCTS}
    generated = {
        name
        for name, item in vars(peer_messages).items()
        if isinstance(item, type) and hasattr(item, "thrift_spec")
    }
    assert generated == defined
