/** Groups values by key. Each group keeps the order of the values. */
export function groupBy<Value, Key>(values: readonly Value[], keyOf: (value: Value) => Key): Map<Key, Value[]> {
    const groups = new Map<Key, Value[]>();
    values.forEach(value => {
        const key = keyOf(value);
        groups.set(key, [...groups.get(key) ?? [], value]);
    });
    return groups;
}
