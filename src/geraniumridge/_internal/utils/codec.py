"""Conversion between nested named tuples and plain data.

``msgspec`` can read a ``NamedTuple`` from an array only, not from an
object. This module therefore walks the objects itself, leaves the other
values to ``msgspec``, and reports all errors of an input at once.
"""

import functools
import types
import typing

import msgspec

from geraniumridge._internal import exceptions


def is_named_tuple(cls):
    """Return whether a type is a ``NamedTuple`` class."""
    return isinstance(cls, type) and hasattr(cls, "_field_defaults")


@functools.lru_cache(maxsize=256)
def get_field_types(cls):
    """Return the evaluated annotations of a named tuple by field."""
    return typing.get_type_hints(cls, include_extras=True)


class _Problems(list):
    """Errors of one input, and whether unknown keys are errors."""

    def __init__(self, ignores_unknown_keys):
        super().__init__()
        self.ignores_unknown_keys = ignores_unknown_keys


def decode(expected_type, data, source, ignores_unknown_keys=False):
    """Decode plain data into a named tuple.

    Parameters
    ----------
    expected_type : type
        A ``NamedTuple`` class. Its fields may hold other ones, directly
        or as values of ``dict`` and items of ``tuple``.
    data : object
        Parsed TOML or JSON.
    source : str
        Name of the input, for error messages.
    ignores_unknown_keys : bool, optional
        Whether keys that no field has are left out; otherwise they are
        errors.

    Returns
    -------
    object
        An instance of `expected_type`.

    Raises
    ------
    exceptions.SettingsError
        If the data does not match; has one line per error.
    """
    problems = _Problems(ignores_unknown_keys)
    value = _decode(expected_type, data, "", problems)
    if problems:
        raise exceptions.SettingsError(source, problems)
    return value


def encode(value):
    """Convert nested named tuples to plain data.

    Parameters
    ----------
    value : object
        Named tuples, mappings, sequences and scalars.

    Returns
    -------
    object
        Mappings, lists and scalars that can be written as JSON.
    """
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        items = value._asdict().items()
        return {key: encode(item) for key, item in items}
    if isinstance(value, dict):
        return {key: encode(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [encode(item) for item in value]
    return value


def _decode(expected_type, data, path, problems):
    origin = typing.get_origin(expected_type)
    type_args = typing.get_args(expected_type)
    if is_named_tuple(expected_type):
        return _decode_object(expected_type, data, path, problems)
    if origin is dict and is_named_tuple(type_args[1]):
        return _decode_table(type_args[1], data, path, problems)
    if origin is tuple and is_named_tuple(type_args[0]):
        return _decode_items(type_args[0], data, path, problems)
    if origin in (typing.Union, types.UnionType):
        return _decode_optional(type_args, data, path, problems)
    try:
        return msgspec.convert(data, expected_type)
    except msgspec.ValidationError as error:
        problems.append(f"{path or 'document'}: {error}")
        return None


def _decode_optional(type_args, data, path, problems):
    if data is None:
        return None
    value_type = next(item for item in type_args if item is not type(None))
    return _decode(value_type, data, path, problems)


def _decode_object(expected_type, data, path, problems):
    if not isinstance(data, dict):
        problems.append(f"{path or 'document'}: Expected a table")
        return None
    field_types = get_field_types(expected_type)
    unknown_keys = data.keys() - field_types.keys()
    for key in () if problems.ignores_unknown_keys else unknown_keys:
        known_keys = ", ".join(sorted(field_types))
        problems.append(
            f"{_join(path, key)}: Unknown key (known: {known_keys})"
        )
    values = {}
    for key, field_type in field_types.items():
        if key in data:
            key_path = _join(path, key)
            values[key] = _decode(field_type, data[key], key_path, problems)
        elif key not in expected_type._field_defaults:
            problems.append(f"{_join(path, key)}: Missing")
            values[key] = None
    return expected_type(**values)


def _decode_table(expected_type, data, path, problems):
    if not isinstance(data, dict):
        problems.append(f"{path}: Expected a table")
        return {}
    return {
        key: _decode(expected_type, item, _join(path, key), problems)
        for key, item in data.items()
    }


def _decode_items(expected_type, data, path, problems):
    if not isinstance(data, (list, tuple)):
        problems.append(f"{path}: Expected an array")
        return ()
    return tuple(
        _decode(expected_type, item, f"{path}[{index}]", problems)
        for index, item in enumerate(data)
    )


def _join(path, key):
    return f"{path}.{key}" if path else str(key)
