/** Number of requests of one kind that one process has admitted. */
export interface RequestCount<Id extends string> {
    id: Id;
    /** Since the process started to count, without the requests that were released. */
    admitted: number;
    /** Those of the last 0.6 to 1.2 s, for receivers that know no earlier count. */
    recentlyAdmitted: number;
}
