"""A persistent hash map, whose versions share unchanged nodes."""

__all__ = ["MapDraft", "PersistentMap"]

import zlib
from collections.abc import Iterator, Mapping

BITS_PER_LEVEL = 4
FANOUT = 1 << BITS_PER_LEVEL
HASH_BITS = 32
# Maximum number of entries in a leaf before it is split. Small enough to make copying
# a leaf cheap.
LEAF_SIZE = 16
# Value that marks a removed key in a set of changes.
REMOVED = object()


class PersistentMap(Mapping):
    """An immutable mapping with string keys, implemented as a hash trie.

    Args:
        entries: Initial entries.

    Notes:
        Lookup and :meth:`updated` take O(log n) time per key; see Bagwell, "Ideal
        Hash Trees" (2001). The hash is CRC-32, so that the structure is the same in
        all processes.
    """

    __slots__ = ("_root", "_size")

    def __init__(self, *, entries: Mapping[str, object] | None = None):
        self._root = _node_updated({}, dict(entries or {}), 0)
        self._size = len(entries or {})

    def __getitem__(self, key: str) -> object:
        return self._leaf(key)[key]

    def __contains__(self, key: object) -> bool:
        return isinstance(key, str) and key in self._leaf(key)

    # Mapping.get raises and catches an exception for each missing key.
    def get(self, key: str, default: object = None) -> object:
        """Return the value under a key, or the default."""
        return self._leaf(key).get(key, default)

    def _leaf(self, key: str) -> dict[str, object]:
        node = self._root
        hash_code = zlib.crc32(key.encode("utf-8", "surrogatepass"))
        while type(node) is tuple:
            node = node[hash_code % FANOUT]
            hash_code >>= BITS_PER_LEVEL
        return node

    def __iter__(self) -> Iterator[str]:
        nodes = [self._root]
        while nodes:
            node = nodes.pop()
            if type(node) is tuple:
                nodes.extend(node)
            else:
                yield from node

    def __len__(self) -> int:
        return self._size

    def updated(self, changes: Mapping[str, object]) -> "PersistentMap":
        """Return a copy with changes applied.

        Args:
            changes: New values by key; ``REMOVED`` removes the key.

        Returns:
            A new mapping, or this one without changes; this one is not modified.
        """
        if not changes:
            return self
        size = self._size
        for key, value in changes.items():
            size += (value is not REMOVED) - (key in self)
        new = PersistentMap()
        new._root = _node_updated(self._root, dict(changes), 0)
        new._size = size
        return new


def _node_updated(node: tuple | dict, changes: dict, shift: int) -> tuple | dict:
    if type(node) is tuple:
        return _branch_updated(node, changes, shift)
    leaf = node | changes
    leaf = {key: value for key, value in leaf.items() if value is not REMOVED}
    if len(leaf) <= LEAF_SIZE or shift >= HASH_BITS:
        return leaf
    return _branch_updated(({},) * FANOUT, leaf, shift)


def _branch_updated(node: tuple, changes: dict, shift: int) -> tuple:
    groups: dict[int, dict] = {}
    for key, value in changes.items():
        hash_code = zlib.crc32(key.encode("utf-8", "surrogatepass"))
        groups.setdefault((hash_code >> shift) % FANOUT, {})[key] = value
    children = list(node)
    for index, group in groups.items():
        children[index] = _node_updated(children[index], group, shift + BITS_PER_LEVEL)
    return tuple(children)


class MapDraft:
    """Collects changes to a :class:`PersistentMap`.

    Args:
        base: The mapping to start from.
    """

    __slots__ = ("_base", "_changes")

    def __init__(self, *, base: PersistentMap):
        self._base = base
        self._changes: dict[str, object] = {}

    def get(self, key: str, default: object = None) -> object:
        """Return the value under a key, or the default."""
        value = self._changes.get(key)
        if value is None:
            return self._base.get(key, default)
        return default if value is REMOVED else value

    def __contains__(self, key: str) -> bool:
        return self.get(key) is not None

    def __getitem__(self, key: str) -> object:
        value = self.get(key)
        if value is None:
            raise KeyError(key)
        return value

    def __setitem__(self, key: str, value: object) -> None:
        self._changes[key] = value

    def __delitem__(self, key: str) -> None:
        self._changes[key] = REMOVED

    def values(self) -> Iterator[object]:
        """Iterate over all values; takes O(n) time."""
        return iter(self.freeze().values())

    def freeze(self) -> PersistentMap:
        """Return the base with the changes applied."""
        return self._base.updated(self._changes)
