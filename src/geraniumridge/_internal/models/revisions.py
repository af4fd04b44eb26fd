"""Revisions of the platform's store, in the order of its eras.

A store that was restored from a backup continues from an earlier revision
and gives out the same numbers again. Its era tells the histories apart. A
revision therefore is one integer that holds both: the era in the upper bits,
the store's own number in the lower ones. Revisions of a later era are greater
than all of an earlier one.
"""

NUMBER_BITS = 40
"""Bits of the store's own number; at 400 writes a second they last for 87
years."""

MAX_NUMBER = 2**NUMBER_BITS - 1
"""Largest number that a store may give out in an era."""

MAX_ERA = 2**13 - 1
"""Largest era; revisions stay within the 53 bits of a JSON number."""


def make_revision(era, number):
    """Return the revision that a store's number has in an era.

    Parameters
    ----------
    era : int
        The era, 0 of a store that tells none.
    number : int
        The store's own number.

    Raises
    ------
    ValueError
        If one of them is out of its bounds.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era {era}: not within 0 and {MAX_ERA}")
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"revision {number}: not within 0 and {MAX_NUMBER}")
    return (era << NUMBER_BITS) | number


def get_era(revision):
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def get_number(revision):
    """Return the store's own number of a revision."""
    return revision & MAX_NUMBER
