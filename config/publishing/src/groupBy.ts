/** Groups `values` by the key that `keyOf` returns, in the order in which the keys first appear. */
export function groupBy<Value, Key>(values: readonly Value[], keyOf: (value: Value) => Key): Map<Key, Value[]> {
    const groups = new Map<Key, Value[]>();
    values.forEach(value => {
        const key = keyOf(value);
        const group = groups.get(key) ?? [];
        group.push(value);
        groups.set(key, group);
    });
    return groups;
}
