/** Splits a flat list into groups of `size` values, shape [groups, size]. */
export function groupsOf<Value>(values: readonly Value[], size: number): Value[][] {
    return Array.from({ length: values.length / size }, (_, index) => values.slice(index * size, (index + 1) * size));
}
