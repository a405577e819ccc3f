/** A set of keys, sorted by UTF-16 code units. */
export class SortedKeys {
    private readonly keys: string[] = [];

    add(key: string): void {
        const index = this.firstIndexAtOrAfter(key);
        if (this.keys[index] !== key) {
            this.keys.splice(index, 0, key);
        }
    }

    remove(key: string): void {
        const index = this.firstIndexAtOrAfter(key);
        if (this.keys[index] === key) {
            this.keys.splice(index, 1);
        }
    }

    /**
     * Returns the keys that start with `prefix` and come after `afterKey`, in order.
     *
     * @returns the keys, shape [at most limit]
     */
    withPrefix(prefix: string, opts: { limit: number; afterKey: string | undefined; }): string[] {
        const first = opts.afterKey !== undefined && opts.afterKey >= prefix
            ? this.firstIndexAtOrAfter(`${opts.afterKey}\0`)
            : this.firstIndexAtOrAfter(prefix);
        const found: string[] = [];
        for (let index = first; index < this.keys.length && found.length < opts.limit; index += 1) {
            const key = this.keys[index];
            if (key === undefined || !key.startsWith(prefix)) {
                break;
            }
            found.push(key);
        }
        return found;
    }

    private firstIndexAtOrAfter(key: string): number {
        let low = 0;
        let high = this.keys.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((this.keys[middle] ?? "") < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
