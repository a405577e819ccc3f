/** The keys that start with `prefix` and come after `afterKey`. */
export interface KeyPrefix {
    prefix: string;
    afterKey: string | undefined;
}
