/** Groups `values` by what `keyOf` gives, in order of first appearance. */
export function groupBy<Value, Key>(values: readonly Value[], keyOf: (value: Value) => Key): Map<Key, Value[]> {
    return values.reduce((groups, value) => {
        const key = keyOf(value);
        const group = groups.get(key);
        group === undefined ? groups.set(key, [value]) : group.push(value);
        return groups;
    }, new Map<Key, Value[]>());
}
