/** Returns the probability that at least `count` events occur where `mean` are expected. */
export function poissonTail(count: number, mean: number): number {
    const terms = Array.from({ length: count }).reduce<number[]>(
        (known, _, index) => [...known, index === 0 ? Math.exp(-mean) : known[index - 1]! * mean / index],
        [],
    );
    return Math.max(0, 1 - terms.reduce((sum, term) => sum + term, 0));
}
