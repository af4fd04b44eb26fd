"""Decoding of plain data into named tuples, with every fault listed.

``msgspec`` checks the leaves. It reads a ``NamedTuple`` only from an
array, so this module walks the objects and collects the faults.
"""

import functools
import types
import typing

import msgspec

from geraniumridge._internal import exceptions


def is_named_tuple(kind):
    """Tell whether a type is a ``NamedTuple`` class."""
    return isinstance(kind, type) and hasattr(kind, "_field_defaults")


@functools.lru_cache(maxsize=256)
def get_hints(kind):
    """Return a named tuple's annotations, evaluated once."""
    return typing.get_type_hints(kind, include_extras=True)


def decode(kind, data, source):
    """Decode plain data into a named tuple.

    Parameters
    ----------
    kind : type
        A ``NamedTuple`` class; its fields may nest further ones, also
        as values of ``dict`` and items of ``tuple``.
    data : object
        Parsed TOML or JSON.
    source : str
        Name of the input, for the error.

    Returns
    -------
    object
        An instance of `kind`.

    Raises
    ------
    exceptions.SettingsError
        With one line for each fault.
    """
    problems = []
    value = _decode(kind, data, "", problems)
    if problems:
        raise exceptions.SettingsError(source, problems)
    return value


def encode(value):
    """Turn nested named tuples into plain objects.

    Parameters
    ----------
    value : object
        Named tuples, mappings, sequences and scalars.

    Returns
    -------
    object
        Mappings, lists and scalars that JSON can hold.
    """
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        items = value._asdict().items()
        return {key: encode(item) for key, item in items}
    if isinstance(value, dict):
        return {key: encode(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [encode(item) for item in value]
    return value


def _decode(kind, data, path, problems):
    origin = typing.get_origin(kind)
    args = typing.get_args(kind)
    if is_named_tuple(kind):
        return _decode_object(kind, data, path, problems)
    if origin is dict and is_named_tuple(args[1]):
        return _decode_table(args[1], data, path, problems)
    if origin is tuple and is_named_tuple(args[0]):
        return _decode_items(args[0], data, path, problems)
    if origin in (typing.Union, types.UnionType):
        return _decode_optional(args, data, path, problems)
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        problems.append(f"{path or 'document'}: {error}")
        return None


def _decode_optional(args, data, path, problems):
    if data is None:
        return None
    inner = next(item for item in args if item is not type(None))
    return _decode(inner, data, path, problems)


def _decode_object(kind, data, path, problems):
    if not isinstance(data, dict):
        problems.append(f"{path or 'document'}: Expected a table")
        return None
    hints = get_hints(kind)
    for key in data.keys() - hints.keys():
        known = ", ".join(sorted(hints))
        problems.append(f"{_join(path, key)}: Unknown key (known: {known})")
    values = {}
    for key, hint in hints.items():
        if key in data:
            inner = _join(path, key)
            values[key] = _decode(hint, data[key], inner, problems)
        elif key not in kind._field_defaults:
            problems.append(f"{_join(path, key)}: Missing")
            values[key] = None
    return kind(**values)


def _decode_table(kind, data, path, problems):
    if not isinstance(data, dict):
        problems.append(f"{path}: Expected a table")
        return {}
    return {
        key: _decode(kind, item, _join(path, key), problems)
        for key, item in data.items()
    }


def _decode_items(kind, data, path, problems):
    if not isinstance(data, (list, tuple)):
        problems.append(f"{path}: Expected an array")
        return ()
    return tuple(
        _decode(kind, item, f"{path}[{index}]", problems)
        for index, item in enumerate(data)
    )


def _join(path, key):
    return f"{path}.{key}" if path else str(key)
