/** Selects the keys that start with `prefix` and sort after `afterKey`. */
export interface KeyPrefix {
    prefix: string;
    afterKey: string | undefined;
}
